package sagefall.buffer;

/** A connection that holds bytes of an unfinished message and can drop them. */
public interface BufferHolder {

    /** Returns what the held bytes belong to. */
    BufferUse bufferUse();

    /** Returns the number of bytes that {@link #dropBuffers} would free; 0 if there are none. */
    long heldBytes();

    /** Returns the time, in milliseconds, for which the message has made no progress. */
    long quietMillis();

    /**
     * Ends the message and frees its memory before it returns. Afterwards {@link #heldBytes}
     * returns 0, or the size of what is left to send in place of the message.
     */
    void dropBuffers();
}
