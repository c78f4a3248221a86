package org.guavathread.core.stream;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against forwarding a partial event before a stream is resumed on another engine. */
class EventFramerTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void buffersAnIncompleteEvent() {
        EventFramer framer = new EventFramer();
        assertArrayEquals(bytes("id: 1\ndata: a\n\n"), framer.accept(bytes("id: 1\ndata: a\n\nid: 2\nda")));
        assertEquals("1", framer.lastEventId().orElseThrow());
        assertArrayEquals(bytes("id: 2\ndata: b\n\n"), framer.accept(bytes("ta: b\n\n")));
        assertEquals("2", framer.lastEventId().orElseThrow());
        assertEquals(2, framer.events());
    }

    @Test
    void acceptsCarriageReturns() {
        EventFramer framer = new EventFramer();
        assertEquals(0, framer.accept(bytes("id: 5\r\ndata: a\r\n")).length);
        assertArrayEquals(bytes("id: 5\r\ndata: a\r\n\r\n"), framer.accept(bytes("\r\n")));
        assertEquals("5", framer.lastEventId().orElseThrow());
    }

    @Test
    void textThatIsNoEventIsMalformed() {
        for (String text : new String[] {"{\"error\":1}\n\n", "HTTP/1.1 500 x\r\nServer: y\r\n\r\n", "boom\n\n"}) {
            EventFramer framer = new EventFramer();
            framer.accept(bytes("id: 1\ndata: a\n\n"));
            framer.accept(bytes(text));
            assertTrue(framer.isMalformed(), text);
        }
        EventFramer sound = new EventFramer();
        sound.accept(bytes("x-weight-versions: 2\nid: 1\ndata: a\nevent: b\nretry: 1\n: c\n\n"));
        assertFalse(sound.isMalformed());
        sound.accept(bytes("boom"));
        assertFalse(sound.isMalformed(), "the line may be incomplete");
        assertTrue(sound.isMalformedAtEnd());
    }

    @Test
    void reportsAnEventWithoutEnd() {
        EventFramer framer = new EventFramer();
        byte[] part = new byte[8 * 1024];
        java.util.Arrays.fill(part, (byte) 'x');
        for (int i = 0; i < EventFramer.MAX_EVENT_BYTES / part.length; i++) {
            assertEquals(0, framer.accept(part).length);
            assertFalse(framer.isTooLong());
        }
        framer.accept(part);
        assertTrue(framer.isTooLong());
    }

    @Test
    void commentsAreNoContent() {
        EventFramer framer = new EventFramer();
        assertArrayEquals(bytes(": still here\n\n"), framer.accept(bytes(": still here\n\n")));
        assertEquals(0, framer.contentLines());
        framer.accept(bytes("data: a\n\n"));
        assertEquals(1, framer.contentLines());
    }

    @Test
    void returnsThePartialEventUnchanged() {
        EventFramer framer = new EventFramer();
        framer.accept(bytes("data: last"));
        assertArrayEquals(bytes("data: last"), framer.takePartial());
        assertEquals(0, framer.takePartial().length);
    }

    @Property(seed = "4711", tries = 200)
    void forwardsTheSameBytesForAnyChunkSize(@ForAll @IntRange(min = 1, max = 40) int chunkSize) {
        StringBuilder stream = new StringBuilder();
        for (int i = 1; i <= 30; i++) {
            stream.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
        }
        byte[] all = bytes(stream.toString());
        EventFramer framer = new EventFramer();
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        for (int from = 0; from < all.length; from += chunkSize) {
            out.writeBytes(
                    framer.accept(java.util.Arrays.copyOfRange(all, from, Math.min(all.length, from + chunkSize))));
        }
        assertArrayEquals(all, out.toByteArray());
        assertEquals(30, framer.events());
    }
}
