package org.guavathread.wire;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.message.LaterField;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.message.UnknownConstant;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against messages of a later or earlier build that are refused, or read as something else. */
class SeveralBuildsProperties {

    /** A state of which later builds know more constants. */
    public enum State {
        KNOWN,
        @UnknownConstant
        OTHER
    }

    /** The same state in a later build. */
    public enum LaterState {
        KNOWN,
        OTHER,
        ADDED
    }

    /** An element of a list. */
    public record Item(HostId host, int number) {}

    /** The same element in a later build. */
    public record LaterItem(
            HostId host, int number, @LaterField List<LaterItem> added) {}

    /** A message of this build. */
    public record Message(long first, List<Item> items, State state) implements PeerMessage {}

    /** The same message in a later build. */
    public record LaterMessage(
            long first,
            List<LaterItem> items,
            LaterState state,
            @LaterField("7") int number,
            @LaterField("-0.5") double share,
            @LaterField("true") boolean flag,
            @LaterField("none") HostId host,
            @LaterField("OTHER") LaterState next,
            @LaterField Optional<LaterItem> item)
            implements PeerMessage {}

    /** A message with one component, which is written as that component alone. */
    public record Single(long value) implements PeerMessage {}

    /** The same message in a later build. */
    public record LaterSingle(long value, @LaterField("3") long added) implements PeerMessage {}

    /** A message with a list alone: more components could not be told from elements. */
    public record Elements(List<Item> items) implements PeerMessage {}

    /** A component that every build sends after one that only later builds send. */
    public record OutOfOrder(@LaterField("0") long added, long value) implements PeerMessage {}

    private static FrameCodec tolerant(Class<? extends PeerMessage> type) {
        return FrameCodec.forSeveralBuilds(new MessageRegistry().register(1, type));
    }

    private static PeerMessage transfer(PeerMessage message, Class<? extends PeerMessage> readAs) {
        byte[] bytes = tolerant(message.getClass()).encode(new Frame(5, true, message));
        Frame read = tolerant(readAs).decode(bytes);
        assertEquals(5, read.correlation());
        return read.message();
    }

    @Property(seed = "21", tries = 200)
    void laterFieldsAreSkipped(@ForAll long first, @ForAll @Size(max = 5) List<Integer> numbers, @ForAll boolean flag) {
        HostId host = new HostId("a");
        List<LaterItem> items = numbers.stream()
                .map(n -> new LaterItem(host, n, List.of(new LaterItem(host, n, List.of()))))
                .toList();
        LaterMessage later = new LaterMessage(
                first,
                items,
                LaterState.ADDED,
                1,
                0.5,
                flag,
                host,
                LaterState.ADDED,
                flag ? Optional.of(new LaterItem(host, 1, items)) : Optional.empty());
        assertEquals(
                new Message(first, numbers.stream().map(n -> new Item(host, n)).toList(), State.OTHER),
                transfer(later, Message.class));
    }

    @Property(seed = "22", tries = 200)
    void missingFieldsHaveTheirDefaults(@ForAll long first, @ForAll @Size(max = 5) List<Integer> numbers) {
        HostId host = new HostId("a");
        Message earlier =
                new Message(first, numbers.stream().map(n -> new Item(host, n)).toList(), State.KNOWN);
        assertEquals(
                new LaterMessage(
                        first,
                        numbers.stream()
                                .map(n -> new LaterItem(host, n, List.of()))
                                .toList(),
                        LaterState.KNOWN,
                        7,
                        -0.5,
                        true,
                        new HostId("none"),
                        LaterState.OTHER,
                        Optional.empty()),
                transfer(earlier, LaterMessage.class));
    }

    @Property(seed = "23", tries = 200)
    void aSingleFieldMayBecomeSeveral(@ForAll long value) {
        assertEquals(new LaterSingle(value, 3), transfer(new Single(value), LaterSingle.class));
        assertEquals(new Single(value), transfer(new LaterSingle(value, 9), Single.class));
    }

    @Example
    void aFrameMayHaveMoreFields() {
        byte[] bytes = {(byte) 0x95, 1, 0, (byte) 0xc2, 9, (byte) 0x92, 1, (byte) 0xc0};
        assertEquals(new Single(9), tolerant(Single.class).decode(bytes).message());
    }

    @Example
    void aListAloneKeepsItsElements() {
        Elements elements = new Elements(List.of(new Item(new HostId("a"), 1), new Item(new HostId("b"), 2)));
        assertEquals(elements, transfer(elements, Elements.class));
    }

    @Property(seed = "24", tries = 1000)
    void malformedBytesAreRefusedWithCodecException(@ForAll byte[] bytes) {
        assertThrows(CodecException.class, () -> tolerant(LaterMessage.class).decode(bytes));
    }

    @Property(seed = "25", tries = 1000)
    void damagedMessagesDoNoMore(@ForAll long first, @ForAll int position, @ForAll byte value) {
        Message message = new Message(first, List.of(new Item(new HostId("a"), 1)), State.KNOWN);
        FrameCodec codec = tolerant(Message.class);
        byte[] bytes = codec.encode(new Frame(0, false, message));
        bytes[Math.floorMod(position, bytes.length)] = value;
        try {
            codec.decode(bytes);
        } catch (CodecException e) {
            return;
        }
    }

    @Example
    void aRequiredFieldMustNotBeMissing() {
        byte[] bytes = tolerant(TooShort.class).encode(new Frame(0, false, new TooShort(1, 2)));
        assertThrows(CodecException.class, () -> tolerant(Message.class).decode(bytes));
    }

    /** A message with fewer components than are required. */
    public record TooShort(long first, long second) implements PeerMessage {}

    @Example
    void unknownTypesAreToldFromMalformedFrames() {
        byte[] bytes = FrameCodec.forSeveralBuilds(new MessageRegistry().register(9, Single.class))
                .encode(new Frame(0, false, new Single(1)));
        assertThrows(UnknownMessageException.class, () -> tolerant(Single.class).decode(bytes));
    }

    @Example
    void laterFieldsComeLast() {
        assertThrows(
                CodecException.class,
                () -> tolerant(OutOfOrder.class).encode(new Frame(0, false, new OutOfOrder(1, 2))));
    }

    @Example
    void exactCodecsRefuseOtherFields() {
        FrameCodec exact = new FrameCodec(new MessageRegistry().register(1, Single.class));
        byte[] longer = tolerant(LaterSingle.class).encode(new Frame(0, false, new LaterSingle(1, 2)));
        assertThrows(CodecException.class, () -> exact.decode(longer));
        FrameCodec later = new FrameCodec(new MessageRegistry().register(1, LaterMessage.class));
        byte[] shorter = tolerant(Message.class).encode(new Frame(0, false, new Message(1, List.of(), State.KNOWN)));
        assertThrows(CodecException.class, () -> later.decode(shorter));
    }
}
