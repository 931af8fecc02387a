package sagefall.buffer;

/**
 * Heap memory, outside of buffers, that one connection holds for an unfinished message, for example
 * for the header fields that have been decoded. Counts toward the sum of {@link BufferMemory}.
 */
public final class HeapAccount {

    private final BufferMemory memory;
    private long bytes;

    HeapAccount(BufferMemory memory) {
        this.memory = memory;
    }

    /** Adds bytes that are held. */
    public void add(long heldBytes) {
        bytes += heldBytes;
        memory.hold(heldBytes);
    }

    /** Returns the number of bytes that are held. */
    public long bytes() {
        return bytes;
    }

    /** Records that nothing is held any more. */
    public void clear() {
        memory.free(bytes);
        bytes = 0;
    }
}
