package org.guavathread.wire;

import java.io.IOException;

import org.guavathread.core.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames. The bytes exclude the length prefix. Thread-safe.
 *
 * <pre>{@code
 * byte[] bytes = codec.encode(new Frame(7, false, new Heartbeat(...)));
 * Frame frame = codec.decode(bytes);
 * }</pre>
 */
public final class FrameCodec {

    /** Maximum size of a frame without its length prefix, in bytes; a larger frame is a fault of the sender. */
    public static final int MAX_FRAME_BYTES = 256 * 1024;

    private static final int FRAME_FIELDS = 4;

    private final MessageRegistry registry;
    private final RecordReader reader;

    /**
     * Builds a codec for hosts of one build, which refuses records with other fields.
     *
     * @param registry the known message types
     */
    public FrameCodec(MessageRegistry registry) {
        this(registry, RecordReader.EXACT);
    }

    private FrameCodec(MessageRegistry registry, RecordReader reader) {
        this.registry = registry;
        this.reader = reader;
    }

    /**
     * Builds a codec for hosts of several builds. It skips fields that it does not know, and reads messages of earlier
     * builds as {@link org.guavathread.core.message.LaterField} and
     * {@link org.guavathread.core.message.UnknownConstant} say.
     *
     * @param registry the known message types
     * @return the codec
     */
    public static FrameCodec forSeveralBuilds(MessageRegistry registry) {
        return new FrameCodec(registry, RecordReader.TOLERANT);
    }

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return its bytes
     * @throws CodecException if the type is not registered or the frame exceeds {@link #MAX_FRAME_BYTES}
     */
    public byte[] encode(Frame frame) {
        return encode(frame, Record.class, Integer.MAX_VALUE);
    }

    /**
     * Encodes a frame for a host of another build.
     *
     * @param frame the frame
     * @param shortened type of the records in the message that have fewer components there
     * @param fields number of their first components that are written
     * @return its bytes
     * @throws CodecException if the type is not registered, the frame exceeds {@link #MAX_FRAME_BYTES}, or a component
     *     that every build sends would be left out
     */
    public byte[] encode(Frame frame, Class<? extends Record> shortened, int fields) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            Class<? extends PeerMessage> type = frame.message().getClass();
            packer.packArrayHeader(FRAME_FIELDS);
            packer.packInt(registry.numberOf(type));
            packer.packLong(frame.correlation());
            packer.packBoolean(frame.reply());
            new RecordWriter(packer, shortened, fields).write(frame.message(), type);
            byte[] bytes = packer.toByteArray();
            if (bytes.length > MAX_FRAME_BYTES) {
                throw new CodecException("A frame with " + type.getSimpleName() + " has " + bytes.length
                        + " bytes; at most " + MAX_FRAME_BYTES + " are allowed.");
            }
            return bytes;
        } catch (IOException e) {
            throw new CodecException("The frame could not be encoded.", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the bytes without the length prefix
     * @return the frame
     * @throws UnknownMessageException if the type of the message is not registered
     * @throws CodecException if the bytes are not a valid frame, or contain a value that its type rejects
     */
    public Frame decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            if (!reader.accepts(fields, FRAME_FIELDS, FRAME_FIELDS)) {
                throw new CodecException("A frame has " + fields + " fields instead of " + FRAME_FIELDS + ".");
            }
            Class<? extends PeerMessage> type = registry.typeOf(unpacker.unpackInt());
            long correlation = unpacker.unpackLong();
            boolean reply = unpacker.unpackBoolean();
            return new Frame(correlation, reply, (PeerMessage) reader.read(unpacker, type));
        } catch (IOException | MessagePackException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new CodecException("A frame of " + bytes.length + " bytes is malformed: " + e.getMessage(), e);
        }
    }
}
