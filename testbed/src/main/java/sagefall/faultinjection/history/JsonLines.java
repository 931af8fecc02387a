package sagefall.faultinjection.history;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/** The JSON mapper that histories, plans and the commands to stand-in processes share. */
public final class JsonLines {

    /** Thread-safe; never reconfigured. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    /** A JSON object as a map, for configurations that are handed on as they are. */
    public static final TypeReference<Map<String, Object>> MAP = new TypeReference<>() {};

    private JsonLines() {}
}
