package org.guavathread.router.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.guavathread.core.routing.CallerBounds;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that requests are assembled as they were sent, wherever their bytes are split or joined. */
class RequestAssemblerProperties {

    private static final int MAX_BODY_BYTES = 200_000;
    private static final CallerBounds BOUNDS = new CallerBounds(16_384, MAX_BODY_BYTES, 1_000, 1_000);

    private record Sent(byte[] bytes, String target, byte[] body) {}

    private static Sent request(Random random, int number, int bodyBytes, int maxChunkBytes) throws Exception {
        byte[] body = new byte[bodyBytes];
        random.nextBytes(body);
        boolean isChunked = random.nextInt(3) > 0;
        String target = "/load/" + number + ";v=1?x=" + random.nextInt(100);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        write(bytes, random.nextInt(8) == 0 ? "\r\n" : "");
        write(bytes, "POST " + target + " HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: a" + number + "\r\n");
        write(bytes, isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + bodyBytes + "\r\n\r\n");
        if (!isChunked) {
            bytes.write(body);
        }
        for (int at = 0; isChunked && at < bodyBytes; ) {
            int length = Math.min(bodyBytes - at, 1 + random.nextInt(maxChunkBytes));
            String extension = random.nextInt(4) == 0 ? ";name=\"value\"" : "";
            write(bytes, Integer.toHexString(length) + extension + "\r\n");
            bytes.write(body, at, length);
            write(bytes, "\r\n");
            at += length;
        }
        if (isChunked) {
            write(bytes, random.nextBoolean() ? "0\r\n\r\n" : "000;end\r\nX-Sum: 17\r\nX-More: 1\r\n\r\n");
        }
        return new Sent(bytes.toByteArray(), target, body);
    }

    private static void write(ByteArrayOutputStream bytes, String text) {
        bytes.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void assertEqual(Sent sent, ReceivedRequest received) {
        assertEquals(sent.target(), received.target());
        assertArrayEquals(sent.body(), received.body());
        String head = new String(received.head(), StandardCharsets.ISO_8859_1);
        assertTrue(head.startsWith("POST " + sent.target() + " HTTP/1.1\r\n") && head.endsWith("\r\n\r\n"), head);
        assertFalse(head.contains("Content-Length") || head.contains("Transfer-Encoding"), head);
    }

    @Property(tries = 300)
    void requestsOfAConnectionAreAssembledWhereverTheirBytesAreSplit(
            @ForAll long seed,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 100_000) Integer> bodies,
            @ForAll @IntRange(min = 1, max = 5_000) int maxChunkBytes,
            @ForAll @IntRange(min = 1, max = 20_000) int maxPieceBytes)
            throws Exception {
        Random random = new Random(seed);
        List<Sent> sent = new ArrayList<>();
        ByteArrayOutputStream connection = new ByteArrayOutputStream();
        for (int i = 0; i < bodies.size(); i++) {
            sent.add(request(random, i, bodies.get(i), maxChunkBytes));
            connection.write(sent.get(i).bytes());
        }
        RequestAssembler assembler = new RequestAssembler(() -> BOUNDS);
        List<ReceivedRequest> received = new ArrayList<>();
        byte[] all = connection.toByteArray();
        for (int at = 0; at < all.length; ) {
            byte[] piece = new byte[Math.min(all.length - at, 1 + random.nextInt(maxPieceBytes))];
            System.arraycopy(all, at, piece, 0, piece.length);
            at += piece.length;
            for (int used = 0; used < piece.length; ) {
                used = assembler.accept(piece, used, at);
                assertTrue(assembler.fault().isEmpty(), () -> assembler.fault().toString());
                if (assembler.isComplete()) {
                    received.add(assembler.take());
                }
            }
        }
        assertEquals(sent.size(), received.size());
        for (int i = 0; i < sent.size(); i++) {
            assertEqual(sent.get(i), received.get(i));
        }
    }

    @Property(tries = 60)
    void requestThatIsCutAtAnyByteIsNotComplete(
            @ForAll long seed,
            @ForAll @IntRange(max = 300) int bodyBytes,
            @ForAll @IntRange(min = 1, max = 50) int chunk)
            throws Exception {
        Sent sent = request(new Random(seed), 1, bodyBytes, chunk);
        for (int length = 0; length < sent.bytes().length; length++) {
            RequestAssembler assembler = new RequestAssembler(() -> BOUNDS);
            byte[] cut = Arrays.copyOf(sent.bytes(), length);
            assertEquals(length, assembler.accept(cut, 0, 0));
            assertFalse(assembler.isComplete(), "complete after " + length + " bytes");
            byte[] rest = Arrays.copyOfRange(sent.bytes(), length, sent.bytes().length);
            assembler.accept(rest, 0, 0);
            assertTrue(assembler.isComplete(), "not complete after a cut at " + length);
            assertEqual(sent, assembler.take());
        }
    }

    @Property(tries = 500)
    void chunkedBodyWithAByteChangedInItsFramingIsRefusedOrNotCompleteOrDiffersInDataOnly(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int bodyBytes) throws Exception {
        Random random = new Random(seed);
        String head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        String chunked = Integer.toHexString(bodyBytes) + "\r\n" + "x".repeat(bodyBytes) + "\r\n0\r\n\r\n";
        byte[] bytes = (head + chunked).getBytes(StandardCharsets.ISO_8859_1);
        int changed = head.length() + random.nextInt(chunked.length());
        bytes[changed] = (byte) random.nextInt(256);
        RequestAssembler assembler = new RequestAssembler(() -> BOUNDS);
        assembler.accept(bytes, 0, 0);
        if (assembler.fault().isEmpty() && assembler.isComplete()) {
            assertTrue(assembler.take().body().length <= bodyBytes, "bytes of the framing are in the body");
        }
    }
}
