package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A file that holds one JSON object; whatever is wrong with it is told in one plain line that names
 * it.
 */
final class JsonFile {

    /** Makes something of the object. */
    interface Reading<T> {
        T of(Map<String, Object> object) throws IOException;
    }

    private JsonFile() {}

    static <T> T read(String file, JsonFactory json, Reading<T> reading) throws IOException {
        try (JsonParser parser = json.createParser(Files.readAllBytes(Path.of(file)))) {
            return reading.of(Json.document(parser));
        } catch (JsonProcessingException e) {
            throw new IOException(file + ": not JSON: " + e.getOriginalMessage(), e);
        } catch (FileSystemException e) {
            throw new IOException(file + ": can't be read", e);
        } catch (IllegalArgumentException | IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }
}
