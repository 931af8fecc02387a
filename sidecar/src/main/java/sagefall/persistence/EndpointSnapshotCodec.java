package sagefall.persistence;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;
import sagefall.config.Json;

/**
 * Encodes snapshots and changes as CBOR for the bodies of records, and decodes them. The field
 * names and the numbers of the phases are part of the stored format and must not change, even if
 * the names in the code do. The parameter {@code file} of the decoding methods is the name of the
 * file that contains the body, for error messages.
 */
public final class EndpointSnapshotCodec {

    private static final String NAME = "name";
    private static final String GENERATION = "generation";
    private static final String EPOCH = "epoch";
    private static final String COMPLETE = "all";
    private static final String REVISION = "revision";
    private static final String AT_MILLIS = "at_ms";
    private static final String ENDPOINTS = "servers";
    private static final String ID = "id";
    private static final String ADDRESS = "address";
    private static final String ZONE = "zone";
    private static final String KIND = "kind";
    private static final String CELL = "cell";
    private static final String PHASE = "phase";
    private static final String START_MICROS = "start_us";
    private static final String WEIGHT = "weight";
    private static final String NOT_READY_SINCE_MILLIS = "told_ms";

    private static final double DEFAULT_WEIGHT = 1;

    private EndpointSnapshotCodec() {}

    /**
     * A snapshot and the generation of its file.
     *
     * @param generation number of the snapshot file; the log with this number contains the changes
     *     since the snapshot
     */
    record StoredSnapshot(EndpointSnapshot snapshot, long generation) {}

    /** Encodes a snapshot with the generation of its file. */
    public static byte[] encode(EndpointSnapshot snapshot, long generation) throws IOException {
        return CborObject.encode(
                out -> {
                    out.writeStringField(NAME, snapshot.name());
                    out.writeNumberField(GENERATION, generation);
                    out.writeNumberField(EPOCH, snapshot.epoch());
                    out.writeNumberField(REVISION, snapshot.revision());
                    out.writeNumberField(AT_MILLIS, snapshot.reportedAtMillis());
                    writeEndpoints(out, snapshot.endpoints().values());
                });
    }

    /** Encodes a change. */
    static byte[] encode(SnapshotChange change) throws IOException {
        return CborObject.encode(
                out -> {
                    out.writeBooleanField(COMPLETE, change.complete());
                    out.writeNumberField(REVISION, change.revision());
                    out.writeNumberField(AT_MILLIS, change.reportedAtMillis());
                    writeEndpoints(out, change.endpoints().values());
                });
    }

    private static void writeEndpoints(JsonGenerator out, Collection<SnapshotEntry> entries)
            throws IOException {
        out.writeArrayFieldStart(ENDPOINTS);
        for (SnapshotEntry entry : entries) {
            writeEndpoint(out, entry);
        }
        out.writeEndArray();
    }

    private static void writeEndpoint(JsonGenerator out, SnapshotEntry entry) throws IOException {
        out.writeStartObject();
        out.writeNumberField(ID, entry.id());
        out.writeStringField(ADDRESS, entry.address());
        out.writeStringField(ZONE, entry.zone());
        out.writeStringField(KIND, entry.model());
        out.writeNumberField(CELL, entry.cell());
        out.writeNumberField(PHASE, numberOf(entry.phase()));
        out.writeNumberField(START_MICROS, entry.startMicros());
        out.writeNumberField(WEIGHT, entry.weight());
        out.writeNumberField(NOT_READY_SINCE_MILLIS, entry.notReadySinceMillis());
        out.writeEndObject();
    }

    /** Decodes a snapshot without the generation of its file. */
    public static EndpointSnapshot decode(String file, byte[] body) throws StoredDataException {
        return snapshotOf(file, CborObject.decode(file, body));
    }

    /** Decodes a snapshot and the generation of its file. */
    static StoredSnapshot decodeStored(String file, byte[] body) throws StoredDataException {
        Map<String, Object> fields = CborObject.decode(file, body);
        EndpointSnapshot snapshot = snapshotOf(file, fields);
        return new StoredSnapshot(snapshot, requiredNumber(file, fields, GENERATION));
    }

    /** Decodes a change. */
    static SnapshotChange decodeChange(String file, byte[] body) throws StoredDataException {
        return changeOf(file, CborObject.decode(file, body));
    }

    /** Returns the snapshot that consists of the decoded fields of a record's body. */
    static EndpointSnapshot snapshotOf(String file, Map<?, ?> fields) throws StoredDataException {
        return new EndpointSnapshot(
                requiredText(file, fields, NAME),
                requiredNumber(file, fields, EPOCH),
                requiredNumber(file, fields, REVISION),
                requiredNumber(file, fields, AT_MILLIS),
                endpointsOf(file, fields));
    }

    /** Returns the change that consists of the decoded fields of a record's body. */
    static SnapshotChange changeOf(String file, Map<?, ?> fields) throws StoredDataException {
        return new SnapshotChange(
                Json.isTrue(fields, COMPLETE),
                requiredNumber(file, fields, REVISION),
                requiredNumber(file, fields, AT_MILLIS),
                endpointsOf(file, fields));
    }

    private static Map<Long, SnapshotEntry> endpointsOf(String file, Map<?, ?> fields)
            throws StoredDataException {
        Map<Long, SnapshotEntry> entries = new LinkedHashMap<>();
        for (Object element : Json.arrayValue(fields, ENDPOINTS)) {
            if (!(element instanceof Map<?, ?> entryFields)) {
                throw StoredDataException.malformed(file, "an endpoint is not an object", null);
            }
            SnapshotEntry entry = entryOf(file, entryFields);
            entries.put(entry.id(), entry);
        }
        return entries;
    }

    private static SnapshotEntry entryOf(String file, Map<?, ?> fields) throws StoredDataException {
        return new SnapshotEntry(
                requiredNumber(file, fields, ID),
                requiredText(file, fields, ADDRESS),
                requiredText(file, fields, ZONE),
                requiredText(file, fields, KIND),
                (int) requiredNumber(file, fields, CELL),
                phaseOf(file, requiredNumber(file, fields, PHASE)),
                requiredNumber(file, fields, START_MICROS),
                Json.doubleValue(fields, WEIGHT, DEFAULT_WEIGHT),
                requiredNumber(file, fields, NOT_READY_SINCE_MILLIS));
    }

    private static int numberOf(EndpointPhase phase) {
        return switch (phase) {
            case READY -> 0;
            case DRAINING -> 1;
            case REMOVED -> 2;
        };
    }

    private static EndpointPhase phaseOf(String file, long number) throws StoredDataException {
        for (EndpointPhase phase : EndpointPhase.values()) {
            if (numberOf(phase) == number) {
                return phase;
            }
        }
        throw StoredDataException.malformed(file, "unknown phase " + number, null);
    }

    private static long requiredNumber(String file, Map<?, ?> fields, String name)
            throws StoredDataException {
        if (fields.get(name) instanceof Long number) {
            return number;
        }
        throw StoredDataException.malformed(file, "'" + name + "' is not a whole number", null);
    }

    private static String requiredText(String file, Map<?, ?> fields, String name)
            throws StoredDataException {
        if (fields.get(name) instanceof String text) {
            return text;
        }
        throw StoredDataException.malformed(file, "'" + name + "' is not a string", null);
    }
}
