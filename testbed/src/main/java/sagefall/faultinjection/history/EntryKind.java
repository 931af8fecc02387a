package sagefall.faultinjection.history;

import java.util.HashMap;
import java.util.Map;

/**
 * What a line of the history records. The words in the files are those of the first version of the
 * format, so that the histories of older runs stay readable.
 */
public enum EntryKind {
    /** The first line: the parameters of the run. */
    RUN("play"),
    /** Clients and faults begin. */
    BEGIN("begin"),
    /** The last answer has come, and all processes are about to be ended. */
    END("end"),
    /** A client's request as it was handed to the application of a sidecar. */
    INTENT("intent"),
    /** The final answer that the application received. */
    ANSWER("answer"),
    /** The client closed its connection before the answer. */
    ABANDONED("left"),
    /** A request that was never sent, as its sidecar was down. */
    MISSED("missed"),
    /** The first bytes of an attempt passed the link to a server. */
    SEND("send"),
    /** A server received an attempt. */
    ARRIVE("arrive"),
    /** A server ran a request. */
    EFFECT("effect"),
    /** A server answered an attempt. */
    REPLY("reply"),
    /** A server saw the sidecar close the connection under an attempt. */
    CANCEL("cancel"),
    /** An endpoint list as it was written to a sidecar, or given to it at its start. */
    ENDPOINT_LIST("told"),
    /** A process started, became ready, was signalled or ended. */
    PROCESS("process"),
    /** The save servers that a stand-in process hosts. */
    HOST("host"),
    /** A fault began or ended. */
    FAULT("fault"),
    /** A save server started or ended. */
    SERVER("server"),
    /** Descriptors and resident memory of a sidecar at rest. */
    REST("rest"),
    /** The lease and the shared snapshot, as another process reads them. */
    LEASE("duty"),
    /** How late an event loop of the test bed ran. */
    STALL("stall"),
    /** How long a sidecar waited for a processor core. */
    CPU_STARVATION("starved"),
    /** A line that this build does not know; it is ignored. */
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

    /** The word in the file. */
    public String word() {
        return word;
    }

    /** The kind of a word in a file; {@link #UNKNOWN} for any other. */
    static EntryKind of(String word) {
        return BY_WORD.getOrDefault(word, UNKNOWN);
    }
}
