package sagefall.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.config.ConfigException;

/**
 * Hosts one {@link DefaultLoadBalancer} for each sidecar and speaks the simulator's wire. It
 * translates and never decides.
 */
public final class SimulatorAdapter {

    private static final int LISTS = 16;

    private final JsonFactory json = new JsonFactory();
    private final Map<String, Hosted> instances = new HashMap<>();
    private final List<List<ListedEndpoint>> lists = new ArrayList<>();
    private final MessageReader fields = new MessageReader();

    /** An instance of the module and where its actions of this batch go. */
    private static final class Hosted {
        LoadBalancer balancer;
    }

    SimulatorAdapter() {
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    /** Serves standard input and output until the input ends; the exit status. */
    public static int serve() {
        return new SimulatorAdapter().run(System.in, System.out, System.err);
    }

    /** Answers batches until the input ends; the exit status. */
    int run(InputStream in, OutputStream out, PrintStream errors) {
        try (JsonParser parser = json.createParser(in);
                JsonGenerator generator = json.createGenerator(out)) {
            generator.setRootValueSeparator(null);
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_JSON_CONTENT);
            MessageWriter replies = new MessageWriter(generator);
            JsonToken token;
            while ((token = parser.nextToken()) != null) {
                if (token != JsonToken.START_OBJECT) {
                    throw new MalformedMessageException("a batch must be a JSON object");
                }
                batch(parser, replies);
                replies.finish();
            }
            return 0;
        } catch (MalformedMessageException e) {
            errors.println("sagefall: " + e.getMessage());
        } catch (JsonParseException e) {
            errors.println("sagefall: not JSON: " + oneLine(e.getOriginalMessage()));
        } catch (ConfigException e) {
            errors.println(
                    "sagefall: bad settings or event: " + oneLine(String.valueOf(e.getMessage())));
        } catch (IOException e) {
            errors.println("sagefall: " + oneLine(String.valueOf(e.getMessage())));
        } catch (IllegalArgumentException e) {
            errors.println(
                    "sagefall: bad settings or event: " + oneLine(String.valueOf(e.getMessage())));
        }
        errors.flush();
        return 1;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ");
    }

    private void batch(JsonParser parser, MessageWriter replies)
            throws IOException, MalformedMessageException {
        long now = -1;
        boolean grouped = false;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("at_time_us")) {
                if (value != JsonToken.VALUE_NUMBER_INT) {
                    throw new MalformedMessageException(
                            "batch: 'at_time_us' must be a whole number");
                }
                now = parser.getLongValue();
            } else if (name.equals("groups")) {
                if (now < 0) {
                    throw new MalformedMessageException(
                            "batch: 'at_time_us' must come before 'groups'");
                }
                expect(value, JsonToken.START_ARRAY, "'groups' must be an array");
                grouped = true;
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    expect(
                            parser.currentToken(),
                            JsonToken.START_OBJECT,
                            "a group must be an object");
                    group(parser, now, replies);
                }
            } else {
                parser.skipChildren();
            }
        }
        if (now < 0 || !grouped) {
            throw new MalformedMessageException(
                    "batch: '" + (now < 0 ? "at_time_us" : "groups") + "' is missing");
        }
    }

    private static void expect(JsonToken token, JsonToken wanted, String message)
            throws MalformedMessageException {
        if (token != wanted) {
            throw new MalformedMessageException(message);
        }
    }

    private void group(JsonParser parser, long now, MessageWriter replies)
            throws IOException, MalformedMessageException {
        String who = null;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("who")) {
                expect(value, JsonToken.VALUE_STRING, "group: 'who' must be a text");
                who = parser.getText();
                replies.instance(who);
            } else if (name.equals("msgs")) {
                if (who == null) {
                    // Pools belong to the process, so a group that holds nothing else may come
                    // without a
                    // name.
                    replies.instance("");
                }
                expect(value, JsonToken.START_ARRAY, "group: 'msgs' must be an array");
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    expect(
                            parser.currentToken(),
                            JsonToken.START_OBJECT,
                            "an event must be an object");
                    fields.read(parser);
                    event(now, who, replies);
                }
            } else {
                parser.skipChildren();
            }
        }
    }

    private void event(long now, String who, MessageWriter replies)
            throws MalformedMessageException, ConfigException {
        String op = fields.text("op");
        if (op.equals("Pool")) {
            lists.set(table(), List.copyOf(fields.rows()));
            return;
        }
        if (who == null) {
            throw new MalformedMessageException("group: 'who' is missing");
        }
        if (op.equals("Start")) {
            Hosted hosted = new Hosted();
            hosted.balancer = new DefaultLoadBalancer(fields.settings(), replies);
            instances.put(who, hosted);
            return;
        }
        Hosted hosted = instances.get(who);
        if (hosted == null) {
            throw new MalformedMessageException(op + ": unknown instance '" + who + "'");
        }
        LoadBalancer balancer = hosted.balancer;
        switch (op) {
            case "PowerOff" -> instances.remove(who);
            case "Endpoints" -> {
                EndpointListKind kind = fields.listKind();
                List<ListedEndpoint> list =
                        kind == EndpointListKind.FAILED ? List.of() : lists.get(table());
                if (list == null) {
                    throw new MalformedMessageException(
                            "Endpoints: no Pool of number " + fields.number("table"));
                }
                balancer.onEndpointList(now, kind, list);
            }
            case "Call" -> balancer.onRequest(now, fields.request());
            case "Established" ->
                    balancer.onStreamStarted(
                            now,
                            fields.text("ticket"),
                            (int) fields.number("go"),
                            fields.number("server"),
                            fields.number("cost_time_us"));
            case "Response" -> balancer.onAttemptOutcome(now, fields.outcome());
            case "ClientLeft" -> balancer.onClientDisconnected(now, fields.text("ticket"));
            case "DeadlineHit" -> balancer.onTimer(now, fields.number("handle"));
            // The module neither probes nor writes to its peers; what comes of either tells it
            // nothing.
            case "CheckResult", "Peer" -> {}
            default -> throw new MalformedMessageException("unknown op '" + op + "'");
        }
    }

    private int table() throws MalformedMessageException {
        long table = fields.number("table");
        if (table < 0 || table >= LISTS) {
            throw new MalformedMessageException(
                    "table " + table + " is not between 0 and " + (LISTS - 1));
        }
        return (int) table;
    }
}
