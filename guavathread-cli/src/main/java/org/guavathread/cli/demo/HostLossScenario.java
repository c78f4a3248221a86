package org.guavathread.cli.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;

/** Kills one host while bookings and streams run on all hosts; callers resend the requests that broke. */
final class HostLossScenario {

    private static final int LOST = 2;
    private static final int RUNNING = 4;
    private static final int STREAM_TOKENS = 200;

    /** Run time of a booking, so that bookings are still running when the host is killed. */
    private static final long SERVICE_MILLIS = 400;

    /** Each resend waits at its host for the outcome, so these resends last until the retention ends. */
    private static final int MAX_RESENDS = 12;

    private static final long RESEND_PAUSE_MILLIS = 500;
    private static final Set<String> UNDECIDED = Set.of("CLAIM_HELD", "CLAIMS_UNAVAILABLE", "");

    private final DemoContext context;
    private final DemoReport report;

    HostLossScenario(DemoContext context) {
        this.context = context;
        this.report = context.report();
    }

    private record Booking(String key, CompletableFuture<Reply> reply) {}

    private record Summary(String text, CompletableFuture<StreamReply> reply) {}

    void run() {
        String lost = context.fleet().hostId(LOST);
        report.title("Host " + lost + " is lost while requests run");
        String doneBefore = DemoContext.newIdempotencyKey();
        Reply before = context.booking(LOST, doneBefore).sendAndWait();
        report.answer("booking at " + lost + " before the loss", before.shown());
        context.fleet().delayServices(SERVICE_MILLIS);
        List<Booking> onLost = bookings(LOST);
        List<Booking> onOthers = bookings(0);
        List<Summary> streamsOnLost = streams(LOST);
        List<Summary> streamsOnOthers = streams(1);
        DemoContext.pause(SERVICE_MILLIS / 2);
        context.fleet().kill(LOST);
        report.line(lost + " has stopped");
        context.fleet().delayServices(0);
        List<CompletableFuture<Reply>> resent = onLost.stream()
                .map(booking -> context.caller().async(() -> resendIfBroken(booking)))
                .toList();
        Reply replayed = resend(doneBefore);
        report.answer("the booking from before the loss, again", replayed.shown());
        report.expect(
                before.isOk() && replayed.isOk() && replayed.body().equals(before.body()),
                "its answer outlives the host that ran it");
        judgeOthers(onOthers, streamsOnOthers);
        judgeStreamsOnLost(streamsOnLost);
        judgeBookingsOnLost(onLost, resent);
        afterLoss(lost);
    }

    private List<Booking> bookings(int host) {
        List<Booking> list = new ArrayList<>();
        for (int i = 0; i < RUNNING; i++) {
            String key = DemoContext.newIdempotencyKey();
            list.add(new Booking(key, context.booking(host, key).send()));
        }
        return list;
    }

    private List<Summary> streams(int host) {
        List<Summary> list = new ArrayList<>();
        for (int i = 0; i < RUNNING; i++) {
            String text = "Summarise contract " + host + "-" + i + ".";
            list.add(new Summary(
                    text, context.chat(host, DemoFleet.ORCHARDS.key(), text, STREAM_TOKENS, true).stream()));
        }
        return list;
    }

    private Reply resendIfBroken(Booking booking) {
        Reply first = booking.reply().join();
        return first.isOk() ? first : resend(booking.key());
    }

    private void judgeBookingsOnLost(List<Booking> bookings, List<CompletableFuture<Reply>> resent) {
        List<Reply> settled = new ArrayList<>();
        boolean once = true;
        boolean honest = true;
        for (int i = 0; i < bookings.size(); i++) {
            Reply last = resent.get(i).join();
            settled.add(last);
            int runs = context.fleet().runCount(bookings.get(i).key());
            once &= runs <= 1;
            honest &= !last.isOk() || runs == 1;
            honest &= !last.run().equals("not_run") || runs == 0;
            report.answer("booking at the lost host, again (runs: " + runs + ")", last.shown());
        }
        report.expect(once, "no booking ran twice");
        report.expect(honest, "no answer and no not_run is false");
        report.expect(
                settled.stream().allMatch(r -> r.isOk() || !UNDECIDED.contains(r.code())),
                "every booking gets an answer or a final refusal at another host");
    }

    /** Resends a booking to the first host until the answer is final. */
    private Reply resend(String key) {
        Reply reply = context.booking(0, key).sendAndWait();
        for (int i = 0; i < MAX_RESENDS && !reply.isOk() && UNDECIDED.contains(reply.code()); i++) {
            DemoContext.pause(RESEND_PAUSE_MILLIS);
            reply = context.booking(0, key).sendAndWait();
        }
        return reply;
    }

    private void judgeOthers(List<Booking> bookings, List<Summary> streams) {
        List<Reply> replies = bookings.stream().map(b -> b.reply().join()).toList();
        report.answer("bookings at " + context.fleet().hostId(0), replies.get(0).shown());
        report.expect(replies.stream().allMatch(Reply::isOk), "bookings at the other hosts are answered");
        boolean whole = true;
        for (Summary stream : streams) {
            StreamReply reply = stream.reply().join();
            report.answer("stream at " + context.fleet().hostId(1), reply.shown());
            whole &= isWhole(stream.text(), reply);
        }
        report.expect(whole, "streams at the other hosts are whole");
    }

    private void judgeStreamsOnLost(List<Summary> streams) {
        boolean whole = true;
        for (Summary stream : streams) {
            StreamReply broken = stream.reply().join();
            StreamReply again = context.chat(0, DemoFleet.ORCHARDS.key(), stream.text(), STREAM_TOKENS, true).stream()
                    .join();
            report.answer(
                    "stream at the lost host, then sent again", broken.tokens().size() + " tokens; " + again.shown());
            whole &= !broken.done() && isWhole(stream.text(), again);
        }
        report.expect(whole, "streams of the lost host break visibly and are whole when they are sent again");
    }

    private static boolean isWhole(String text, StreamReply reply) {
        return reply.done() && reply.tokens().equals(RequestKindsScenario.tokens(text, STREAM_TOKENS));
    }

    private void afterLoss(String lost) {
        report.expect(
                DemoContext.await(DemoContext.STATE_TIMEOUT_MILLIS, () -> isSuspect(0, lost) && isSuspect(1, lost)),
                "both other hosts suspect " + lost);
        Reply booking = context.booking(1, DemoContext.newIdempotencyKey()).sendAndWait();
        Reply lookup = context.lookup(0, DemoFleet.ORCHARDS.key()).sendAndWait();
        StreamReply stream =
                context.chat(0, DemoFleet.ORCHARDS.key(), "Summarise the day.", STREAM_TOKENS, true).stream()
                        .join();
        report.answer("new booking", booking.shown());
        report.answer("new lookup", lookup.shown());
        report.answer("new stream", stream.shown());
        report.expect(
                booking.isOk() && lookup.isOk() && isWhole("Summarise the day.", stream),
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
