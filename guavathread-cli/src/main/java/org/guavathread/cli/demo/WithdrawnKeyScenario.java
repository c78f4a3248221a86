package org.guavathread.cli.demo;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Publishes a sheet without an API key while a stream that uses this key is running. */
final class WithdrawnKeyScenario {

    /** 10 s at 5 ms a token, longer than a withdrawn key takes to end a stream. */
    private static final int LONG_STREAM_TOKENS = 2_000;

    private static final int OTHER_STREAM_TOKENS = 300;
    private static final long NEXT_VERSION = 2;

    /** A sheet is in force within 5 s while the configuration service is up; a stream then ends within 3 s. */
    private static final long MAX_CUT_MILLIS = 8_000;

    private final DemoContext context;
    private final DemoReport report;

    WithdrawnKeyScenario(DemoContext context) {
        this.context = context;
        this.report = context.report();
    }

    void run() {
        report.title("An API key is withdrawn while a stream runs");
        CompletableFuture<StreamReply> withdrawn =
                context.chat(0, DemoFleet.WITHDRAWN_KEY, "Summarise the season.", LONG_STREAM_TOKENS, true).stream();
        CompletableFuture<StreamReply> other =
                context.chat(1, DemoFleet.ORCHARDS.key(), "Summarise the week.", OTHER_STREAM_TOKENS, true).stream();
        report.expect(
                DemoContext.await(
                        DemoContext.STATE_TIMEOUT_MILLIS, () -> context.fleet().usedPieces() > 1),
                "both streams hold decode memory");
        DemoContext.pause(500);
        long publishedAtMillis = System.currentTimeMillis();
        context.fleet().publish(NEXT_VERSION, List.of(DemoFleet.ORCHARDS.key()));
        report.line("sheet version " + NEXT_VERSION + " is published without the key");
        StreamReply cut = withdrawn.join();
        long cutAfterMillis = cut.endedAtMillis() - publishedAtMillis;
        report.answer("stream under the withdrawn key", cut.formatted() + ", " + cutAfterMillis + " ms after that");
        report.expect(
                !cut.complete() && !cut.tokens().isEmpty() && cutAfterMillis >= 0 && cutAfterMillis <= MAX_CUT_MILLIS,
                "the stream was running and was cut within " + MAX_CUT_MILLIS / 1_000 + " s");
        report.expect(
                DemoContext.await(DemoContext.STATE_TIMEOUT_MILLIS, this::isInForceEverywhere),
                "version " + NEXT_VERSION + " is in force on all hosts");
        List<Reply> refused = IntStream.range(0, context.fleet().size())
                .mapToObj(host -> context.lookup(host, DemoFleet.WITHDRAWN_KEY).sendAndWait())
                .toList();
        report.answer("lookup with the withdrawn key", refused.get(0).formatted());
        report.expect(
                refused.stream().allMatch(r -> r.code().equals("KEY_UNKNOWN")), "every host refuses the withdrawn key");
        StreamReply completeReply = other.join();
        report.answer("stream under the other key of the workspace", completeReply.formatted());
        context.measures().countStream(completeReply);
        report.expect(
                completeReply.complete()
                        && completeReply
                                .tokens()
                                .equals(RequestKindsScenario.tokens("Summarise the week.", OTHER_STREAM_TOKENS)),
                "the other stream is not touched");
        report.expect(
                DemoContext.await(
                        DemoContext.STATE_TIMEOUT_MILLIS, () -> context.fleet().usedPieces() == 0),
                "the engines hold no memory of ended requests");
    }

    private boolean isInForceEverywhere() {
        return IntStream.range(0, context.fleet().size())
                .allMatch(host -> context.status(host).path("sheetVersion").asLong() == NEXT_VERSION);
    }
}
