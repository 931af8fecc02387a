package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** A configuration file that holds one JSON object; each error names the file. */
final class JsonFile {

    /** Makes a typed record of the file's object. */
    interface Converter<T> {
        T convert(Map<String, Object> object) throws IOException;
    }

    private JsonFile() {}

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
            // Such as a path that the platform's encoding cannot express.
            throw ConfigException.ofFile(file, e.getMessage(), e);
        }
    }
}
