package sagefall.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import sagefall.config.ConfigException;

/**
 * Connects the balancers to the simulator. The simulator starts this process. Reads batches of
 * messages, replies to each batch with the balancers' actions, and exits at the end of the input.
 * If the input violates the protocol, the process prints one line to standard error and exits.
 */
public final class SimulatorAdapter {

    private static final int EXIT_OK = 0;
    private static final int EXIT_MALFORMED_INPUT = 1;

    private final JsonFactory json = new JsonFactory();

    SimulatorAdapter() {}

    /** Serves standard input and output until the input ends, and returns the exit status. */
    public static int serve() {
        return new SimulatorAdapter().run(System.in, System.out, System.err);
    }

    /** Replies to batches until the input ends, and returns the exit status. */
    int run(InputStream in, OutputStream out, PrintStream errors) {
        try (JsonParser parser = json.createParser(in);
                JsonGenerator generator = json.createGenerator(out)) {
            generator.setRootValueSeparator(null);
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_JSON_CONTENT);
            processBatches(parser, new MessageWriter(generator));
            return EXIT_OK;
        } catch (MalformedMessageException e) {
            errors.println("sagefall: " + e.getMessage());
        } catch (JsonParseException e) {
            errors.println("sagefall: not JSON: " + oneLine(e.getOriginalMessage()));
        } catch (ConfigException | IllegalArgumentException e) {
            errors.println(
                    "sagefall: invalid settings or message: "
                            + oneLine(String.valueOf(e.getMessage())));
        } catch (IOException e) {
            errors.println("sagefall: " + oneLine(String.valueOf(e.getMessage())));
        }
        errors.flush();
        return EXIT_MALFORMED_INPUT;
    }

    private static void processBatches(JsonParser parser, MessageWriter writer)
            throws IOException, MalformedMessageException {
        BatchReader reader = new BatchReader(parser, new HostedBalancers(writer));
        while (reader.readBatch()) {
            writer.endReply();
        }
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ");
    }
}
