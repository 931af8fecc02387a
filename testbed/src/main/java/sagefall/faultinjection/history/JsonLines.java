package sagefall.faultinjection.history;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/** Holds the JSON mapper for histories, plans and the commands to stand-in processes. */
public final class JsonLines {

    /** Mapper shared by all threads. It must not be reconfigured, which is not thread-safe. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    /** Type for reading a JSON object as a map, for configurations that are passed on unchanged. */
    public static final TypeReference<Map<String, Object>> MAP = new TypeReference<>() {};

    private JsonLines() {}
}
