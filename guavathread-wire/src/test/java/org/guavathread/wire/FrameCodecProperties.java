package org.guavathread.wire;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.RunState;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against messages that change in transit, and against malformed frames that do more than end a connection. */
class FrameCodecProperties {

    /** Has a component of each kind that the codec supports. */
    public record Sample(
            HostId host,
            Incarnation incarnation,
            int count,
            double share,
            boolean flag,
            RunState run,
            Optional<HostId> next,
            List<Incarnation> all)
            implements PeerMessage {}

    private final FrameCodec codec = new FrameCodec(new MessageRegistry().register(1, Sample.class));

    @Property(seed = "11", tries = 300)
    void decodesWhatItEncoded(
            @ForAll @AlphaChars @StringLength(min = 1, max = 40) String name,
            @ForAll int count,
            @ForAll boolean flag,
            @ForAll long correlation) {
        HostId host = new HostId(name);
        Sample sample = new Sample(
                host,
                new Incarnation(7),
                count,
                0.25,
                flag,
                RunState.UNKNOWN,
                flag ? Optional.of(host) : Optional.empty(),
                List.of(new Incarnation(1), new Incarnation(2)));
        Frame frame = new Frame(correlation, flag, sample);
        assertEquals(frame, codec.decode(codec.encode(frame)));
    }

    @Property(seed = "12", tries = 1000)
    void malformedBytesAreRefusedWithCodecException(@ForAll byte[] bytes) {
        assertThrows(CodecException.class, () -> codec.decode(bytes));
    }
}
