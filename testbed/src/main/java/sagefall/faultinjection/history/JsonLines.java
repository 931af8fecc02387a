package sagefall.faultinjection.history;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/** Holds the JSON mapper for histories, plans and the commands to stand-in processes. */
public final class JsonLines {

    /**
     * Mapper shared by all threads. Must not be reconfigured, because a reconfiguration would not
     * be thread-safe.
     */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    /** Type that reads a JSON object as a map. Used for configurations passed on unchanged. */
    public static final TypeReference<Map<String, Object>> MAP = new TypeReference<>() {};

    private JsonLines() {}
}
