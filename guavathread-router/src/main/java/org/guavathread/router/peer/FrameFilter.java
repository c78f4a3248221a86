package org.guavathread.router.peer;

import java.io.IOException;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.MemoryManager;
import org.guavathread.wire.CodecException;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.tinylog.Logger;

/** Splits the byte stream into frames and writes frames to it; each frame has a 4-byte big-endian length prefix. */
final class FrameFilter extends BaseFilter {

    private static final int LENGTH_BYTES = 4;

    private final FrameCodec codec;

    FrameFilter(FrameCodec codec) {
        this.codec = codec;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        Buffer buffer = ctx.getMessage();
        if (buffer.remaining() < LENGTH_BYTES) {
            return ctx.getStopAction(buffer);
        }
        int length = buffer.getInt(buffer.position());
        if (length < 1 || length > FrameCodec.MAX_FRAME_BYTES) {
            return closed(
                    ctx,
                    "the peer announced a frame of " + length + " bytes; at most " + FrameCodec.MAX_FRAME_BYTES
                            + " are allowed");
        }
        if (buffer.remaining() < LENGTH_BYTES + length) {
            return ctx.getStopAction(buffer);
        }
        Buffer remainder = buffer.remaining() > LENGTH_BYTES + length
                ? buffer.split(buffer.position() + LENGTH_BYTES + length)
                : null;
        buffer.position(buffer.position() + LENGTH_BYTES);
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        buffer.tryDispose();
        try {
            ctx.setMessage(codec.decode(bytes));
        } catch (CodecException e) {
            return closed(ctx, e.getMessage());
        }
        return ctx.getInvokeAction(remainder);
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        Frame frame = ctx.getMessage();
        byte[] bytes = codec.encode(frame);
        MemoryManager<?> memory = ctx.getMemoryManager();
        Buffer buffer = memory.allocate(LENGTH_BYTES + bytes.length);
        buffer.putInt(bytes.length);
        buffer.put(bytes);
        buffer.flip();
        buffer.allowBufferDispose(true);
        ctx.setMessage(buffer);
        return ctx.getInvokeAction();
    }

    private static NextAction closed(FilterChainContext ctx, String reason) {
        Logger.warn("Closing the connection with {}: {}.", ctx.getConnection().getPeerAddress(), reason);
        ctx.getConnection().closeSilently();
        return ctx.getStopAction();
    }
}
