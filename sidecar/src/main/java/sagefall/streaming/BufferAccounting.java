package sagefall.streaming;

/**
 * What all streams of this process hold together, and the most that it has been: the figure that
 * the bound of the section is to be chosen by.
 */
public final class BufferAccounting {

    private long held;
    private long most;

    /** So many bytes more, or fewer. */
    void add(long bytes) {
        held += bytes;
        most = Math.max(most, held);
    }

    public long held() {
        return held;
    }

    public long most() {
        return most;
    }
}
