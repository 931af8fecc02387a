package larkbank.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import larkbank.Json;
import larkbank.LoadBalancer.RequestClass;
import larkbank.Section;
import larkbank.streaming.Streaming;

/**
 * What the file named by {@code LB_EXTENSIONS} switches on, a section for each subsystem. It is the
 * operators' own and stands beside the platform's configuration, so that none of its names can meet one of
 * the platform's.
 */
record Extensions(Streaming streaming) {

    static final Extensions NONE = new Extensions(Streaming.OFF);

    /** Reads the file, if one is named; the exception's message is one plain line. */
    static Extensions read(Map<String, String> environment, List<RequestClass> classes) throws IOException {
        String file = environment.get("LB_EXTENSIONS");
        if (file == null || file.isEmpty()) {
            return NONE;
        }
        // A name that stands twice would silently lose the first.
        JsonFactory strict = JsonFactory.builder()
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
        try (JsonParser parser = strict.createParser(Files.readAllBytes(Path.of(file)))) {
            Map<String, Object> sections = Json.document(parser);
            Section all = new Section("extensions", sections);
            Streaming streaming = sections.containsKey("streaming")
                    ? Streaming.read(all.section("streaming"), classes) : Streaming.OFF;
            all.end();
            return new Extensions(streaming);
        } catch (JsonProcessingException e) {
            throw new IOException(file + ": not JSON: " + e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        } catch (FileSystemException e) {
            throw new IOException(file + ": can't be read", e);
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }
}
