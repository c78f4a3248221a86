package org.guavathread.cli.demo;

import java.util.List;
import java.util.stream.IntStream;

import org.guavathread.standin.FakeDecodeEngine;

/** Sends one request of each kind. */
final class RequestKindsScenario {

    private static final int MAX_TOKENS = 16;

    private final DemoContext context;
    private final DemoReport report;
    private final String key = DemoFleet.ORCHARDS.key();

    RequestKindsScenario(DemoContext context) {
        this.context = context;
        this.report = context.report();
    }

    void run() {
        report.title("Each kind of request");
        Reply entry = context.caller()
                .request(context.fleet().callerAddress(0), "/v1/entry")
                .key(key)
                .sendAndWait();
        report.answer("entry: which addresses to use", entry.formatted());
        report.expect(
                entry.body().path("addresses").size() == context.fleet().size(), "entry lists all hosts of the fleet");
        Reply lookup = context.lookup(0, key).sendAndWait();
        report.answer("lookup (idempotent) at " + context.fleet().hostId(0), lookup.formatted());
        Reply note = context.caller()
                .request(context.fleet().callerAddress(1), DemoSheet.NOTE)
                .key(key)
                .body("{\"gate\":3}")
                .sendAndWait();
        report.answer("booking without idempotency key", note.formatted());
        Reply open = context.caller()
                .request(context.fleet().callerAddress(2), DemoSheet.OPENING_HOURS)
                .sendAndWait();
        report.answer("open route, no API key", open.formatted());
        report.expect(lookup.isOk() && note.isOk() && open.isOk(), "lookup, booking and open route are answered");
        bookings();
        language();
        refusals();
    }

    private void bookings() {
        String idempotencyKey = DemoContext.newIdempotencyKey();
        Reply first = context.booking(0, idempotencyKey).sendAndWait();
        Reply resent = context.booking(1, idempotencyKey).sendAndWait();
        report.answer("booking with idempotency key at " + context.fleet().hostId(0), first.formatted());
        report.answer("the same booking again at " + context.fleet().hostId(1), resent.formatted());
        report.expect(
                first.isOk() && resent.isOk() && first.body().equals(resent.body()),
                "a resend at another host gets the answer of the first send");
        report.expect(context.fleet().runCount(idempotencyKey) == 1, "the booking ran once");
    }

    private void language() {
        String text = "Summarise the quality of lot fuji-12.";
        Reply unstreamedReply = context.chat(1, key, text, MAX_TOKENS, false).sendAndWait();
        report.answer("summary (deferrable), whole answer", unstreamedReply.formatted());
        StreamReply stream =
                context.chat(2, key, text, MAX_TOKENS, true).stream().join();
        report.answer("summary, streamed", stream.formatted());
        context.measures().countStream(stream);
        List<String> expected = tokens(text, MAX_TOKENS);
        report.expect(
                unstreamedReply.body().at("/choices/0/message/content").asText().equals(String.join("", expected)),
                "the whole answer holds every token once");
        report.expect(
                stream.complete() && stream.tokens().equals(expected), "the stream holds every token once, in order");
    }

    private void refusals() {
        Reply unknown = context.lookup(0, "no-such-key").sendAndWait();
        Reply missing = context.caller()
                .request(context.fleet().callerAddress(0), DemoSheet.BOOKING)
                .key(key)
                .body("{}")
                .sendAndWait();
        report.answer("lookup with an unknown API key", unknown.formatted());
        report.answer("booking that lacks its idempotency key", missing.formatted());
        report.expect(
                unknown.code().equals("KEY_UNKNOWN") && missing.code().equals("IDEMPOTENCY_KEY_MISSING"),
                "wrong requests are refused with the reason");
    }

    /** Lists the tokens that the stand-in engines produce for a text. */
    static List<String> tokens(String text, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> FakeDecodeEngine.tokenOf(DemoContext.promptOf(text), i))
                .toList();
    }
}
