package org.guavathread.cli.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

/** One workspace sends five times its rate through all hosts while another one sends a steady load within its rate. */
final class BurstScenario {

    private static final int BURST_SECONDS = 3;
    private static final int BURST_FACTOR = 5;
    private static final int STEP_MILLIS = 50;
    private static final int STEPS = BURST_SECONDS * 1_000 / STEP_MILLIS;

    /** Starts 2.5 streams a second; together with the lookups they use about a fifth of the rate of their workspace. */
    private static final int STEPS_PER_STREAM = 8;

    private static final int MAX_TOKENS = 16;

    private final DemoContext context;
    private final DemoReport report;
    private final List<CompletableFuture<Reply>> burstLookups = new ArrayList<>();
    private final List<CompletableFuture<Reply>> steadyLookups = new ArrayList<>();
    private final List<CompletableFuture<StreamReply>> streams = new ArrayList<>();

    BurstScenario(DemoContext context) {
        this.context = context;
        this.report = context.report();
    }

    void run() {
        DemoFleet.DemoWorkspace buyers = DemoFleet.BUYERS;
        report.title("A burst of " + BURST_FACTOR + " times its rate from " + buyers.name()
                + ", beside steady calls of " + DemoFleet.ORCHARDS.name());
        long startNanos = System.nanoTime();
        sendAll();
        List<Reply> burstReplies =
                burstLookups.stream().map(CompletableFuture::join).toList();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        List<Reply> steadyReplies =
                steadyLookups.stream().map(CompletableFuture::join).toList();
        List<StreamReply> streamReplies =
                streams.stream().map(CompletableFuture::join).toList();
        checkBurst(buyers, burstReplies, seconds);
        checkSteady(steadyReplies, streamReplies);
    }

    private void sendAll() {
        int lookupsPerStep =
                (int) (BURST_FACTOR * DemoFleet.BUYERS.rate() * STEP_MILLIS / 1_000 / DemoSheet.LOOKUP_COST);
        for (int step = 0; step < STEPS; step++) {
            for (int i = 0; i < lookupsPerStep; i++) {
                burstLookups.add(context.lookup((step + i) % context.fleet().size(), DemoFleet.BUYERS.key())
                        .send());
            }
            int host = step % context.fleet().size();
            steadyLookups.add(context.lookup(host, DemoFleet.ORCHARDS.key()).send());
            if (step % STEPS_PER_STREAM == 0) {
                String text = "Summarise delivery " + step + ".";
                streams.add(context.chat(host, DemoFleet.ORCHARDS.key(), text, MAX_TOKENS, true).stream());
            }
            DemoContext.pause(STEP_MILLIS);
        }
    }

    private void checkBurst(DemoFleet.DemoWorkspace buyers, List<Reply> replies, double seconds) {
        long answered = replies.stream().filter(Reply::isOk).count();
        long rateLimited =
                replies.stream().filter(r -> r.code().equals("RATE_LIMITED")).count();
        long tokens = answered * DemoSheet.LOOKUP_COST;
        double allowedTokens = buyers.rate() * seconds + buyers.burst();
        double fairTokens = Math.min((double) replies.size() * DemoSheet.LOOKUP_COST, buyers.rate() * seconds);
        report.answer(
                buyers.name() + ": " + replies.size() + " lookups in " + BURST_SECONDS + " s",
                answered + " answered, " + rateLimited + " RATE_LIMITED, " + (replies.size() - answered - rateLimited)
                        + " other");
        context.measures().setServedShare(buyers.name(), tokens, fairTokens);
        report.expect(
                tokens <= allowedTokens,
                String.format(
                        Locale.ROOT,
                        "%s got %d tokens over all hosts, at most rate x %.1f s + burst = %.0f",
                        buyers.name(),
                        tokens,
                        seconds,
                        allowedTokens));
        report.expect(rateLimited > 0, "the excess is refused with RATE_LIMITED");
        report.expect(
                replies.stream().filter(r -> !r.isOk()).allMatch(r -> r.run().equals("not_run")),
                "every refusal says not_run");
    }

    private void checkSteady(List<Reply> lookups, List<StreamReply> streamReplies) {
        String name = DemoFleet.ORCHARDS.name();
        long answered = lookups.stream().filter(Reply::isOk).count();
        long completeStreams =
                streamReplies.stream().filter(StreamReply::complete).count();
        report.answer(
                name + ": " + lookups.size() + " lookups, " + streamReplies.size() + " streams",
                answered + " answered, " + completeStreams + " whole");
        lookups.stream().filter(r -> !r.isOk()).limit(1).forEach(r -> report.answer("first refusal", r.formatted()));
        streamReplies.stream()
                .filter(r -> !r.complete())
                .limit(1)
                .forEach(r -> report.answer("first failure", r.formatted()));
        lookups.forEach(r -> context.measures().countWithinRate(!r.isOk()));
        streamReplies.forEach(r -> context.measures().countWithinRate(r.status() != 200));
        streamReplies.forEach(context.measures()::countStream);
        context.measures().setServedShare(name, answered + completeStreams, lookups.size() + streamReplies.size());
        report.expect(
                answered == lookups.size() && completeStreams == streamReplies.size(),
                "the burst takes nothing from " + name + ": all of its requests are answered");
    }
}
