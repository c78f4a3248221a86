package org.guavathread.cli.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;

/** Kills one host while bookings and streams run on all hosts; callers resend the requests that broke. */
final class HostLossScenario {

    private static final int LOST_HOST = 2;
    private static final int REQUESTS_PER_KIND = 4;
    private static final int STREAM_TOKENS = 200;

    /** Delay of each booking at its service, so that bookings are still running when the host is killed. */
    private static final long SERVICE_DELAY_MILLIS = 400;

    /** Each resend waits at its host for the outcome, so these resends last until the retention ends. */
    private static final int MAX_RESENDS = 12;

    private static final long RESEND_PAUSE_MILLIS = 500;
    private static final Set<String> NON_FINAL_CODES = Set.of("CLAIM_HELD", "CLAIMS_UNAVAILABLE", "");

    private final DemoContext context;
    private final DemoReport report;

    HostLossScenario(DemoContext context) {
        this.context = context;
        this.report = context.report();
    }

    private record Booking(String key, CompletableFuture<Reply> reply) {}

    private record SummaryStream(String text, CompletableFuture<StreamReply> reply) {}

    void run() {
        String lostHostId = context.fleet().hostId(LOST_HOST);
        report.title("Host " + lostHostId + " is lost while requests run");
        String earlierKey = DemoContext.newIdempotencyKey();
        Reply earlierReply = context.booking(LOST_HOST, earlierKey).sendAndWait();
        report.answer("booking at " + lostHostId + " before the loss", earlierReply.formatted());
        context.fleet().delayServices(SERVICE_DELAY_MILLIS);
        List<Booking> bookingsOnLost = bookings(LOST_HOST);
        List<Booking> bookingsOnOthers = bookings(0);
        List<SummaryStream> streamsOnLost = streams(LOST_HOST);
        List<SummaryStream> streamsOnOthers = streams(1);
        DemoContext.pause(SERVICE_DELAY_MILLIS / 2);
        context.fleet().kill(LOST_HOST);
        report.line(lostHostId + " has stopped");
        context.fleet().delayServices(0);
        List<CompletableFuture<Reply>> resent = bookingsOnLost.stream()
                .map(booking -> context.caller().runAsync(() -> resendIfBroken(booking)))
                .toList();
        Reply replayed = resend(earlierKey);
        report.answer("the booking from before the loss, again", replayed.formatted());
        report.expect(
                earlierReply.isOk() && replayed.isOk() && replayed.body().equals(earlierReply.body()),
                "its answer outlives the host that ran it");
        checkOthers(bookingsOnOthers, streamsOnOthers);
        checkStreamsOnLost(streamsOnLost);
        checkBookingsOnLost(bookingsOnLost, resent);
        checkAfterLoss(lostHostId);
    }

    private List<Booking> bookings(int host) {
        List<Booking> list = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_KIND; i++) {
            String key = DemoContext.newIdempotencyKey();
            list.add(new Booking(key, context.booking(host, key).send()));
        }
        return list;
    }

    private List<SummaryStream> streams(int host) {
        List<SummaryStream> list = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_KIND; i++) {
            String text = "Summarise contract " + host + "-" + i + ".";
            list.add(new SummaryStream(
                    text, context.chat(host, DemoFleet.ORCHARDS.key(), text, STREAM_TOKENS, true).stream()));
        }
        return list;
    }

    private Reply resendIfBroken(Booking booking) {
        Reply first = booking.reply().join();
        return first.isOk() ? first : resend(booking.key());
    }

    private void checkBookingsOnLost(List<Booking> bookings, List<CompletableFuture<Reply>> resent) {
        List<Reply> finalReplies = new ArrayList<>();
        boolean ranAtMostOnce = true;
        boolean runStatesTrue = true;
        for (int i = 0; i < bookings.size(); i++) {
            Reply lastReply = resent.get(i).join();
            finalReplies.add(lastReply);
            int runs = context.fleet().runCount(bookings.get(i).key());
            ranAtMostOnce &= runs <= 1;
            runStatesTrue &= !lastReply.isOk() || runs == 1;
            runStatesTrue &= !lastReply.run().equals("not_run") || runs == 0;
            report.answer("booking at the lost host, again (runs: " + runs + ")", lastReply.formatted());
        }
        report.expect(ranAtMostOnce, "no booking ran twice");
        report.expect(runStatesTrue, "no answer and no not_run is false");
        report.expect(
                finalReplies.stream().allMatch(r -> r.isOk() || !NON_FINAL_CODES.contains(r.code())),
                "every booking gets an answer or a final refusal at another host");
    }

    /** Resends a booking to the first host until the answer is final. */
    private Reply resend(String key) {
        Reply reply = context.booking(0, key).sendAndWait();
        for (int i = 0; i < MAX_RESENDS && !reply.isOk() && NON_FINAL_CODES.contains(reply.code()); i++) {
            DemoContext.pause(RESEND_PAUSE_MILLIS);
            reply = context.booking(0, key).sendAndWait();
        }
        return reply;
    }

    private void checkOthers(List<Booking> bookings, List<SummaryStream> streams) {
        List<Reply> replies = bookings.stream().map(b -> b.reply().join()).toList();
        report.answer("bookings at " + context.fleet().hostId(0), replies.get(0).formatted());
        report.expect(replies.stream().allMatch(Reply::isOk), "bookings at the other hosts are answered");
        boolean allComplete = true;
        for (SummaryStream stream : streams) {
            StreamReply reply = stream.reply().join();
            report.answer("stream at " + context.fleet().hostId(1), reply.formatted());
            allComplete &= isComplete(stream.text(), reply);
        }
        report.expect(allComplete, "streams at the other hosts are whole");
    }

    private void checkStreamsOnLost(List<SummaryStream> streams) {
        boolean allComplete = true;
        for (SummaryStream stream : streams) {
            StreamReply broken = stream.reply().join();
            StreamReply resentReply =
                    context.chat(0, DemoFleet.ORCHARDS.key(), stream.text(), STREAM_TOKENS, true).stream()
                            .join();
            report.answer(
                    "stream at the lost host, then sent again",
                    broken.tokens().size() + " tokens; " + resentReply.formatted());
            allComplete &= !broken.complete() && isComplete(stream.text(), resentReply);
        }
        report.expect(allComplete, "streams of the lost host break visibly and are whole when they are sent again");
    }

    private static boolean isComplete(String text, StreamReply reply) {
        return reply.complete() && reply.tokens().equals(RequestKindsScenario.tokens(text, STREAM_TOKENS));
    }

    private void checkAfterLoss(String lostHostId) {
        report.expect(
                DemoContext.await(
                        DemoContext.STATE_TIMEOUT_MILLIS, () -> isSuspect(0, lostHostId) && isSuspect(1, lostHostId)),
                "both other hosts suspect " + lostHostId);
        Reply booking = context.booking(1, DemoContext.newIdempotencyKey()).sendAndWait();
        Reply lookup = context.lookup(0, DemoFleet.ORCHARDS.key()).sendAndWait();
        StreamReply stream =
                context.chat(0, DemoFleet.ORCHARDS.key(), "Summarise the day.", STREAM_TOKENS, true).stream()
                        .join();
        report.answer("new booking", booking.formatted());
        report.answer("new lookup", lookup.formatted());
        report.answer("new stream", stream.formatted());
        report.expect(
                booking.isOk() && lookup.isOk() && isComplete("Summarise the day.", stream),
                "the two hosts that are left answer every kind at the first try");
        context.measures().countWithinRate(!booking.isOk());
        context.measures().countWithinRate(!lookup.isOk());
        context.measures().countWithinRate(stream.status() != 200);
        context.measures().countStream(stream);
        report.expect(
                DemoContext.await(
                        2 * DemoContext.STATE_TIMEOUT_MILLIS,
                        () -> context.fleet().usedPieces() == 0),
                "the engines hold no memory of requests of the lost host");
    }

    private boolean isSuspect(int observer, String host) {
        return StreamSupport.stream(context.status(observer).path("peers").spliterator(), false)
                .anyMatch(peer -> peer.path("host").asText().equals(host)
                        && peer.path("status").asText().equals("suspect"));
    }
}
