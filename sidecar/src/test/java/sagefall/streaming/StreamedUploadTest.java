package sagefall.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the forwarding of an upload to the endpoints of its attempts. */
class StreamedUploadTest {

    /** Size of the replay buffer in bytes. */
    private static final int REPLAY_BYTES = 8;

    /** Maximum size of the upload in bytes. */
    private static final int MAX_BYTES = 20;

    private static final StreamingSettings SETTINGS =
            new StreamingSettings(Map.of(), 10_000, 4_000, 1_000, 1_000, REPLAY_BYTES, 0, 0);

    private final List<Boolean> readingChanges = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final BufferAccounting accounting = new BufferAccounting();
    private final StreamedUpload upload =
            new StreamedUpload(SETTINGS, accounting, MAX_BYTES, readingChanges::add);

    StreamedUploadTest() {
        upload.setListener(
                new StreamedUpload.Listener() {
                    @Override
                    public void uploadComplete() {
                        events.add("complete");
                    }

                    @Override
                    public void replayBufferExceeded() {
                        events.add("replay lost");
                    }
                });
    }

    private boolean receive(String text) {
        ByteBuf part = Unpooled.copiedBuffer(text, UTF_8);
        boolean accepted = upload.receive(part);
        upload.flush();
        return accepted;
    }

    private void attach(EmbeddedChannel server) {
        upload.attach(server, () -> events.add("written"));
    }

    /** Returns the parts received since the last call; a dot marks the end of the body. */
    private static String received(EmbeddedChannel server) {
        StringBuilder body = new StringBuilder();
        while (!server.outboundMessages().isEmpty()) {
            HttpContent part = server.readOutbound();
            body.append(part.content().toString(UTF_8));
            if (part instanceof LastHttpContent) {
                body.append('.');
            }
            part.release();
        }
        return body.toString();
    }

    @Test
    void clientIsReadOnlyWhileAnEndpointIsAttached() {
        assertEquals(List.of(false), readingChanges);
        attach(new EmbeddedChannel());
        assertEquals(List.of(false, true), readingChanges);
        upload.detach();
        assertEquals(List.of(false, true, false), readingChanges);
    }

    @Test
    void retrySendsTheBodyFromItsFirstByteWithinTheReplayLimit() {
        EmbeddedChannel first = new EmbeddedChannel();
        receive("ab");
        attach(first);
        receive("cd");
        assertEquals("abcd", received(first));
        upload.detach();
        EmbeddedChannel second = new EmbeddedChannel();
        attach(second);
        receive("ef");
        upload.end(EmptyHttpHeaders.INSTANCE);
        assertEquals("abcdef.", received(second));
        assertEquals("", received(first));
        assertEquals(List.of("complete", "written"), events);
    }

    @Test
    void uploadThatForwardsMoreThanTheReplayLimitCannotBeReplayed() {
        receive("0123456789");
        assertEquals(List.of(), events);
        assertEquals(10, accounting.bufferedBytes());
        EmbeddedChannel server = new EmbeddedChannel();
        attach(server);
        assertEquals(List.of("replay lost"), events);
        receive("abc");
        assertEquals("0123456789abc", received(server));
        assertEquals(List.of("replay lost"), events);
        assertEquals(0, accounting.bufferedBytes());
    }

    @Test
    void bodyLongerThanTheLimitIsRejected() {
        assertTrue(receive("x".repeat(MAX_BYTES)));
        assertFalse(receive("x"));
    }

    @Test
    void partsReceivedAfterCloseAreReleased() {
        receive("abc");
        upload.close();
        assertEquals(0, accounting.bufferedBytes());
        ByteBuf part = Unpooled.copiedBuffer("def", UTF_8);
        assertTrue(upload.receive(part));
        assertEquals(0, part.refCnt());
        assertEquals(0, accounting.bufferedBytes());
        upload.end(EmptyHttpHeaders.INSTANCE);
        assertFalse(upload.isComplete());
        assertEquals(List.of(), events);
    }

    @Test
    void uploadStaysCompleteAfterClose() {
        upload.end(EmptyHttpHeaders.INSTANCE);
        upload.close();
        assertTrue(upload.isComplete());
    }

    @Test
    void partThatCannotBeWrittenIsReleasedAndCountedOnlyInTheReplayBuffer() {
        EmbeddedChannel server = new EmbeddedChannel();
        attach(server);
        server.close();
        ByteBuf part = Unpooled.copiedBuffer("abc", UTF_8);
        upload.receive(part);
        upload.end(EmptyHttpHeaders.INSTANCE);
        server.runPendingTasks();
        assertEquals(0, part.refCnt());
        assertEquals("abc".length(), accounting.bufferedBytes());
        assertEquals(List.of("complete"), events);
    }

    @Test
    void trailersOfTheUploadAreForwarded() {
        EmbeddedChannel server = new EmbeddedChannel();
        attach(server);
        HttpHeaders trailers = new DefaultHttpHeaders().set("Digest", "1");
        upload.end(trailers);
        LastHttpContent last = server.readOutbound();
        assertEquals("1", last.trailingHeaders().get("Digest"));
        last.release();
    }
}
