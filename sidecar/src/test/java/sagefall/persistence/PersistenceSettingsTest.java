package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonFactory;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;
import sagefall.config.Json;

/** Checks the defaults of the section {@code recovery} and the errors for invalid sections. */
class PersistenceSettingsTest {

    private static PersistenceSettings read(String singleQuoted) throws Exception {
        return PersistenceSettings.read(
                new ConfigSection(
                        "extensions.recovery",
                        Json.parseDocument(
                                new JsonFactory().createParser(singleQuoted.replace('\'', '"')))));
    }

    @Test
    void absentKeysHaveDocumentedDefaults() throws Exception {
        assertEquals(
                new PersistenceSettings(Path.of("/a"), 4 * 1024 * 1024, 3_600_000, true, 0),
                read("{'directory':'/a'}"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | extensions.recovery.directory: must be the absolute path of a directory",
                "{'directory':'kept'} | extensions.recovery.directory: must be the absolute path of"
                        + " a directory",
                "{'directory':7} | extensions.recovery.directory: must be a string",
                "{'directory':'/a','sync':'never'} | extensions.recovery.sync: must be 'each' or"
                        + " 'snapshot'",
                "{'directory':'/a','max_bytes':10} | extensions.recovery.max_bytes: must be a whole"
                        + " number from",
                "{'directory':'/a','max_age_ms':-1} | extensions.recovery.max_age_ms: must be a"
                        + " whole number from 0",
                "{'directory':'/a','peers':[]} | extensions.recovery.peers: unknown key",
            })
    void invalidSectionIsRejectedWithOneLine(String singleQuoted, String line) {
        String message = assertThrows(ConfigException.class, () -> read(singleQuoted)).getMessage();
        assertEquals(line, message.substring(0, line.length()));
    }
}
