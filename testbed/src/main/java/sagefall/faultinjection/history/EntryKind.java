package sagefall.faultinjection.history;

import java.util.HashMap;
import java.util.Map;

/**
 * Kinds of entries in a history. The names written to the files are those of the first version of
 * the format, so that the histories of older runs stay readable.
 */
public enum EntryKind {
    /** The first line: the parameters of the run. */
    RUN("play"),
    /** The clients begin to send requests. The fault schedule begins at this time. */
    BEGIN("begin"),
    /** All requests have completed. The sidecars are then measured without load and shut down. */
    END("end"),
    /** A request was handed to the client process of a sidecar. */
    INTENT("intent"),
    /** The last byte of a request that its client writes slowly was written. */
    WRITTEN("written"),
    /**
     * A request ended at the client process. The status in the entry is that of the final response,
     * or shows that no response arrived.
     */
    ANSWER("answer"),
    /** The client disconnected before the final response of its request. */
    ABANDONED("left"),
    /** A request that was never sent because its sidecar was down. */
    MISSED("missed"),
    /** The first bytes of an attempt were forwarded on the link to a server. */
    SEND("send"),
    /** A server received an attempt. */
    ARRIVE("arrive"),
    /** A server finished executing a request. */
    EFFECT("effect"),
    /** A server responded to an attempt. */
    REPLY("reply"),
    /** The connection of an attempt was closed before the server had responded. */
    CANCEL("cancel"),
    /** An endpoint list was written to a sidecar or passed to the sidecar at its start. */
    ENDPOINT_LIST("told"),
    /** A process started, became ready, was sent a signal or exited. */
    PROCESS("process"),
    /** The ids of the save servers that a stand-in process hosts. */
    HOST("host"),
    /** A fault began or ended. */
    FAULT("fault"),
    /**
     * A save server started, shut down, or failed because of an overload in its slow start. A save
     * server is the server behind an endpoint.
     */
    SERVER("server"),
    /** Number of open descriptors and resident memory of a sidecar without load. */
    REST("rest"),
    /** The lease and the state of the shared snapshot that the test bed read from the store. */
    LEASE("duty"),
    /** Duration for which an event loop of the test bed was stalled. */
    STALL("stall"),
    /** Duration for which a sidecar waited for a processor core. */
    CPU_STARVATION("starved"),
    /** An entry whose kind is unknown. Readers ignore the entry. */
    UNKNOWN("");

    private static final Map<String, EntryKind> BY_WORD = new HashMap<>();

    static {
        for (EntryKind kind : values()) {
            BY_WORD.put(kind.word, kind);
        }
    }

    private final String word;

    EntryKind(String word) {
        this.word = word;
    }

    /** Returns the name of this kind in a file. */
    public String word() {
        return word;
    }

    /** Returns the kind with the given name in a file; {@link #UNKNOWN} if there is none. */
    static EntryKind of(String word) {
        return BY_WORD.getOrDefault(word, UNKNOWN);
    }
}
