package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Reads a configuration file that holds one JSON object; each error names the file. */
final class JsonFile {

    /** Converts the object of the file to a typed record. */
    interface Converter<T> {
        /** Returns the typed record for an object. */
        T convert(Map<String, Object> object) throws IOException;
    }

    private JsonFile() {}

    /** Reads the file and converts its object. */
    static <T> T read(String file, JsonFactory json, Converter<T> converter)
            throws ConfigException {
        try (JsonParser parser = json.createParser(Files.readAllBytes(Path.of(file)))) {
            return converter.convert(Json.parseDocument(parser));
        } catch (ConfigException e) {
            throw e.inFile(file);
        } catch (JsonProcessingException e) {
            throw ConfigException.ofFile(file, "not JSON: " + e.getOriginalMessage(), e);
        } catch (FileSystemException e) {
            throw ConfigException.ofFile(file, "can't be read", e);
        } catch (IllegalArgumentException | IOException e) {
            // Path.of rejects, for instance, a path that the file name encoding cannot express.
            throw ConfigException.ofFile(file, e.getMessage(), e);
        }
    }
}
