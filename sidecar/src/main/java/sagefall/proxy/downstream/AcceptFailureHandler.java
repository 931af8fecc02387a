package sagefall.proxy.downstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.logging.LogRateLimit;

/**
 * The last handler of the listening channel. Logs the failure of an accept, for example because the
 * process may not open another descriptor. The failure must not reach the end of the pipeline:
 * Netty logs it there with a library that itself opens a file, and whose error would end the event
 * loop. Accepting is tried again at the next sweep of the connections.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {

    private final Consumer<String> log;
    private final LogRateLimit logRateLimit = new LogRateLimit();
    private long failures;

    AcceptFailureHandler(Consumer<String> log) {
        this.log = log;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failures++;
        if (logRateLimit.tryAcquire()) {
            log.accept(
                    LogLine.of(LogEvent.ACCEPT_FAILED)
                            .with("failures", failures)
                            .with("cause", cause)
                            .toString());
        }
    }
}
