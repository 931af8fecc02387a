package sagefall.http;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import sagefall.buffer.HeapAccount;

/**
 * Counts the header fields, trailers included, of the message that a decoder reads, and limits
 * their number. A field takes much more memory than its bytes on the wire, so the limit on the size
 * of a head does not bound the memory that a head takes.
 */
public final class HeaderFieldCounter {

    /** Maximum number of header fields of a message. */
    public static final int MAX_FIELDS = 128;

    /**
     * Heap memory of one decoded field beside its characters, in bytes: an entry of the header map
     * and two strings.
     */
    public static final int FIELD_BYTES = 136;

    private final HeapAccount account;
    private int fields;

    /** Creates a counter that records the memory of the fields in the given account. */
    public HeaderFieldCounter(HeapAccount account) {
        this.account = account;
    }

    /**
     * Counts a field.
     *
     * @throws TooLongHttpHeaderException if the message has too many fields
     */
    public void add() {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        account.add(FIELD_BYTES);
    }

    /** Starts to count the fields of the next message. */
    public void reset() {
        fields = 0;
    }
}
