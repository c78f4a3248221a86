package org.guavathread.router.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Compares the reader with the grammar of RFC 9112, written as regular expressions, on sound and on changed answers. */
class AnswerReaderProperties {

    private static final int MAX_HEAD_BYTES = 16_384;
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]";
    private static final String FIELDS = "((?:" + TOKEN + ":" + TEXT + "*\\r\\n)*)\\r\\n";
    private static final Pattern HEAD =
            Pattern.compile("HTTP/1\\.([01]) ([2-5][0-9]{2})(?: " + TEXT + "*)?\\r\\n" + FIELDS);
    private static final Pattern SIZE_LINE = Pattern.compile("([0-9A-Fa-f]{1,8})(?:[ \\t]*;[ \\t]*" + TOKEN
            + "(?:[ \\t]*=[ \\t]*(?:" + TOKEN
            + "|\"(?:[\\t\\x20\\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]|\\\\" + TEXT + ")*\"))?)*\\r\\n");
    private static final Pattern TRAILERS = Pattern.compile(FIELDS);
    private static final String CANONICAL_FRAMING =
            "(?s)HTTP/1.. (204|304).*|.*\\r\\n(Content-Length: |Transfer-Encoding: ).*";
    private static final String CHANGES = "\0\t\n\r !\"(),-./059:;=AaCcHhLlTtxz\\\u007f\u0080\u00ff";

    private static final List<String> SOUND = List.of(
            "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200\r\ncontent-length:5\r\nContent-Length:\t05 \r\n\r\nhello",
            "HTTP/1.0 404 Not Found\r\nContent-Length: 5\r\nX-Empty:\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nTransfer-Encoding: Chunked\r\n\r\n5 ; a=b;c=\"d\\\"\"\r\nhello\r\n00;e\r\nX-T: 1\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhello");

    @Property(seed = "31", tries = 20_000)
    void readerFollowsTheGrammarWhereverBytesAreSplit(
            @ForAll long seed,
            @ForAll @IntRange(max = 3) int changes,
            @ForAll @IntRange(min = 1, max = 60) int maxPieceBytes) {
        Random random = new Random(seed);
        StringBuilder answer = new StringBuilder(SOUND.get(random.nextInt(SOUND.size())));
        for (int i = 0; i < changes; i++) {
            change(answer, random);
        }
        String text = answer.toString();
        assertEquals(expected(text), read(text, random, maxPieceBytes), () -> "seed " + seed + ": " + text);
    }

    private static void change(StringBuilder answer, Random random) {
        int at = random.nextInt(answer.length());
        char with = CHANGES.charAt(random.nextInt(CHANGES.length()));
        switch (random.nextInt(3)) {
            case 0 -> answer.setCharAt(at, with);
            case 1 -> answer.insert(at, with);
            default -> answer.deleteCharAt(at);
        }
    }

    /** Returns the body of an answer that the reader takes for whole when the connection is closed behind it. */
    private static Optional<String> read(String answer, Random random, int maxPieceBytes) {
        byte[] all = answer.getBytes(StandardCharsets.ISO_8859_1);
        AnswerReader reader = new AnswerReader(MAX_HEAD_BYTES);
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        try {
            for (int at = 0; at < all.length && !reader.isComplete(); ) {
                byte[] piece =
                        Arrays.copyOfRange(all, at, Math.min(all.length, at + 1 + random.nextInt(maxPieceBytes)));
                at += piece.length;
                ByteBuffer bytes = reader.accept(piece, piece.length);
                passed.write(bytes.array(), bytes.position(), bytes.remaining());
            }
        } catch (MalformedMessageException e) {
            return Optional.empty();
        }
        String canonical = passed.toString(StandardCharsets.ISO_8859_1);
        if (!reader.isComplete() && (canonical.isEmpty() || canonical.matches(CANONICAL_FRAMING))) {
            return Optional.empty();
        }
        String body = canonical.substring(canonical.indexOf("\r\n\r\n") + 4);
        return Optional.of(canonical.contains("\r\nTransfer-Encoding: chunked\r\n") ? dechunked(body) : body);
    }

    private static String dechunked(String canonical) {
        StringBuilder data = new StringBuilder();
        for (String rest = canonical; !"0\r\n\r\n".equals(rest); ) {
            int from = rest.indexOf("\r\n") + 2;
            int to = from + Integer.parseInt(rest.substring(0, from - 2), 16);
            data.append(rest, from, to);
            rest = rest.substring(to + 2);
        }
        return data.toString();
    }

    /** Returns the body of an answer that is whole by the grammar when the connection is closed behind it. */
    private static Optional<String> expected(String answer) {
        Matcher head = HEAD.matcher(answer);
        if (!head.lookingAt()) {
            return Optional.empty();
        }
        List<String> lengths = values(head.group(3), "content-length");
        List<String> codings = values(head.group(3), "transfer-encoding");
        boolean isChunked = !codings.isEmpty();
        boolean isMalformed = lengths.stream().anyMatch(l -> !l.matches("0*[0-9]{1,18}"))
                || lengths.stream().map(Long::parseLong).distinct().count() > 1
                || isChunked && (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.get(0)))
                || isChunked && ("0".equals(head.group(1)) || !lengths.isEmpty());
        if (isMalformed) {
            return Optional.empty();
        }
        String rest = answer.substring(head.end());
        if ("204".equals(head.group(2)) || "304".equals(head.group(2))) {
            return Optional.of("");
        }
        if (isChunked) {
            return expectedOfChunks(rest);
        }
        if (lengths.isEmpty()) {
            return Optional.of(rest);
        }
        long length = Long.parseLong(lengths.get(0));
        return length <= rest.length() ? Optional.of(rest.substring(0, (int) length)) : Optional.empty();
    }

    private static List<String> values(String fields, String name) {
        return fields.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .toList();
    }

    private static Optional<String> expectedOfChunks(String chunks) {
        StringBuilder data = new StringBuilder();
        Matcher size = SIZE_LINE.matcher(chunks);
        int at = 0;
        while (size.region(at, chunks.length()).lookingAt()) {
            long length = Long.parseLong(size.group(1), 16);
            at = size.end();
            if (length == 0) {
                boolean ends =
                        TRAILERS.matcher(chunks).region(at, chunks.length()).lookingAt();
                return ends ? Optional.of(data.toString()) : Optional.empty();
            }
            if (!chunks.substring((int) Math.min(chunks.length(), at + length)).startsWith("\r\n")) {
                return Optional.empty();
            }
            data.append(chunks, at, at + (int) length);
            at += (int) length + 2;
        }
        return Optional.empty();
    }
}
