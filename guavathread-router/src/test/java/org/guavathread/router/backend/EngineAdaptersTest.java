package org.guavathread.router.backend;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RequestId;
import org.guavathread.router.http.ExchangeFailedException;
import org.guavathread.router.http.Polling;
import org.guavathread.router.http.RequestNotSentException;
import org.guavathread.router.http.ScriptedPeer;
import org.guavathread.standin.FakeDecodeEngine;
import org.guavathread.standin.FakePrefillEngine;
import org.guavathread.standin.FakeWeightStore;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests the engine protocol: complete outputs, resumption, memory reservation and release, orders, delayed load
 * reports.
 */
class EngineAdaptersTest extends AdapterFixture {

    private static final String PROMPT = "Resume el lote 7";

    @Test
    void requestRunsThroughPrefillAndDecodeAndFreesItsMemory() throws Exception {
        FakePrefillEngine prefill = closeAfterTest(FakePrefillEngine.builder().start());
        FakeDecodeEngine decode = closeAfterTest(FakeDecodeEngine.builder().start());
        RecordingTokenListener tokens = new RecordingTokenListener();
        prefillAndImport(id("r1"), prefill, decode, PROMPT);
        assertEquals(3, decode.usedPieces());
        adapter(decode).decode(new DecodeRequest(id("r1"), 0, 50, 5_000, deadlineIn(20_000)), tokens);
        get(tokens.end);
        assertEquals(expected(0, 50), tokens.texts);
        assertEquals(0, decode.usedPieces());
        assertEquals(1, prefill.runs("r1"));
        assertEquals(1, decode.runs("r1"));
    }

    @Test
    void brokenStreamResumesAtItsOffsetOnAnotherEngine() throws Exception {
        FakePrefillEngine prefill = closeAfterTest(FakePrefillEngine.builder().start());
        FakeDecodeEngine first = closeAfterTest(FakeDecodeEngine.builder().start());
        FakeDecodeEngine second = closeAfterTest(FakeDecodeEngine.builder().start());
        first.faults().dropStreamAfterTokens(4);
        RecordingTokenListener tokens = new RecordingTokenListener();
        prefillAndImport(id("r1"), prefill, first, PROMPT);
        adapter(first).decode(new DecodeRequest(id("r1"), 0, 10, 5_000, deadlineIn(20_000)), tokens);
        failureOf(ExchangeFailedException.class, tokens.end);
        assertEquals(3, first.usedPieces());
        prefillAndImport(id("r1"), prefill, second, PROMPT);
        RecordingTokenListener rest = new RecordingTokenListener();
        adapter(second).decode(new DecodeRequest(id("r1"), tokens.texts.size(), 10, 5_000, deadlineIn(20_000)), rest);
        get(rest.end);
        List<String> output = new ArrayList<>(tokens.texts);
        output.addAll(rest.texts);
        assertEquals(expected(0, 10), output);
    }

    @Test
    void stalledTokenStreamFails() throws Exception {
        FakePrefillEngine prefill = closeAfterTest(FakePrefillEngine.builder().start());
        FakeDecodeEngine decode = closeAfterTest(FakeDecodeEngine.builder().start());
        decode.faults().stallStreamAfterTokens(2);
        RecordingTokenListener tokens = new RecordingTokenListener();
        prefillAndImport(id("r1"), prefill, decode, PROMPT);
        adapter(decode).decode(new DecodeRequest(id("r1"), 0, 10, 2_000, deadlineIn(20_000)), tokens);
        failureOf(ExchangeFailedException.class, tokens.end);
        assertEquals(expected(0, 2), tokens.texts);
        assertEquals(Set.of("r1"), decode.heldRequests());
    }

    @Test
    void reservationsAreBoundedListedByHostAndCancelled() throws Exception {
        FakeDecodeEngine decode =
                closeAfterTest(FakeDecodeEngine.builder().memoryPieces(5).start());
        HttpDecodeEngine mine = adapter(decode);
        Owner other = new Owner(new HostId("talca-1"), new Incarnation(7));
        HttpDecodeEngine theirs = new HttpDecodeEngine(client, addressOf(decode), other);
        assertEquals(ReserveResult.RESERVED, get(mine.reserve(id("a"), 3, deadlineIn(20_000))));
        assertEquals(ReserveResult.RESERVED, get(theirs.reserve(id("b"), 2, deadlineIn(20_000))));
        assertEquals(ReserveResult.INSUFFICIENT_MEMORY, get(mine.reserve(id("c"), 1, deadlineIn(20_000))));
        assertEquals(
                List.of(new EngineRequest(id("b"), other, "reserved", 2)),
                get(mine.list(other.host(), deadlineIn(20_000))));
        get(mine.cancel(id("b"), deadlineIn(20_000)));
        get(mine.cancel(id("unknown"), deadlineIn(20_000)));
        assertEquals(ReserveResult.RESERVED, get(mine.reserve(id("c"), 2, deadlineIn(20_000))));
        assertEquals(Set.of("a", "c"), decode.heldRequests());
    }

    @Test
    void loadReportIsDelayedByTheConfiguredLag() throws Exception {
        FakeDecodeEngine current = closeAfterTest(FakeDecodeEngine.builder().start());
        FakeDecodeEngine lagging =
                closeAfterTest(FakeDecodeEngine.builder().loadLagMillis(600_000).start());
        for (FakeDecodeEngine engine : List.of(current, lagging)) {
            get(adapter(engine).reserve(id("a"), 3, deadlineIn(20_000)));
        }
        EngineLoad load = get(adapter(current).load(deadlineIn(20_000)));
        assertEquals(new EngineLoad(20, 3, 0, 1, 0, 0, List.of(MODEL), Map.of(), EngineRole.DECODE), load);
        EngineLoad delayed = get(adapter(lagging).load(deadlineIn(20_000)));
        assertEquals(0, delayed.usedPieces());
        assertEquals(600_000, delayed.ageMillis());
    }

    @Test
    void ordersAreFencedOnlyByEnginesThatCheck() throws Exception {
        FakeWeightStore store = closeAfterTest(FakeWeightStore.builder().start().put("notas-2", 100_000));
        FakeDecodeEngine checking = closeAfterTest(
                FakeDecodeEngine.builder().weightStore(store.address()).start());
        FakeDecodeEngine ignoring =
                closeAfterTest(FakeDecodeEngine.builder().checksOrders(false).start());
        assertEquals(OrderResult.ACCEPTED, get(adapter(checking).order(loadOrder(10))));
        assertEquals(OrderResult.OLD_FENCING_NUMBER, get(adapter(checking).order(loadOrder(9))));
        assertEquals(OrderResult.ACCEPTED, get(adapter(ignoring).order(loadOrder(10))));
        assertEquals(OrderResult.ACCEPTED, get(adapter(ignoring).order(loadOrder(9))));
        Polling.until("model is loaded", () -> checking.models().contains("notas"));
        assertEquals(10, get(adapter(checking).load(deadlineIn(20_000))).fencing());
        failureOf(
                RequestNotSentException.class,
                adapter(checking)
                        .order(new EngineOrder(
                                11,
                                EngineOrder.Action.CHANGE_ROLE,
                                Optional.empty(),
                                Optional.empty(),
                                Optional.of(EngineRole.PREFILL),
                                deadlineIn(-1),
                                deadlineIn(20_000))));
        assertEquals("decode", checking.role());
    }

    @Test
    void prefixEventsReportStoredPrefixesWithGaps() throws Exception {
        FakePrefillEngine prefill = closeAfterTest(
                FakePrefillEngine.builder().prefixCache(4, 100).events(0, 3).start());
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, addressOf(prefill), SELF);
        assertEquals(
                0,
                get(adapter.prefill(prompt("r1", PROMPT, List.of(1L, 2L, 3L)))).cachedTokens());
        assertEquals(
                200,
                get(adapter.prefill(prompt("r2", PROMPT, List.of(1L, 2L, 4L, 5L))))
                        .cachedTokens());
        List<PrefixEvent> events = get(adapter.prefixEvents(1, deadlineIn(20_000)));
        assertEquals(
                List.of(new PrefixEvent(2, true, 2), new PrefixEvent(4, true, 4), new PrefixEvent(5, true, 5)), events);
    }

    @Test
    void exportAndImportOfExpiredKvCacheFail() throws Exception {
        FakePrefillEngine prefill =
                closeAfterTest(FakePrefillEngine.builder().keepMillis(1).start());
        FakeDecodeEngine decode = closeAfterTest(FakeDecodeEngine.builder().start());
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, addressOf(prefill), SELF);
        PrefillResult result = get(adapter.prefill(prompt("r1", PROMPT, List.of())));
        Polling.until("KV cache expired", () -> prefill.expiredCaches() == 1);
        assertEquals(
                410,
                failureOf(BackendAnswerException.class, adapter.export(id("r1"), result.handle(), deadlineIn(20_000)))
                        .status());
        get(adapter(decode).reserve(id("r1"), 1, deadlineIn(20_000)));
        failureOf(
                BackendAnswerException.class,
                adapter(decode).importKv(id("r1"), addressOf(prefill), result.handle(), deadlineIn(20_000)));
    }

    @Test
    void requestThatCrashesItsEngineBreaksTheConnection() throws Exception {
        FakePrefillEngine prefill = closeAfterTest(FakePrefillEngine.builder().start());
        prefill.faults().crashMarker("veneno");
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, addressOf(prefill), SELF);
        failureOf(ExchangeFailedException.class, adapter.prefill(prompt("r1", "un veneno", List.of())));
        failureOf(RequestNotSentException.class, adapter.prefill(prompt("r2", PROMPT, List.of())));
        prefill.restart();
        get(adapter.prefill(prompt("r3", PROMPT, List.of())));
        assertEquals(1, prefill.crashes());
    }

    @Test
    void invalidTokenStreamsFail() throws Exception {
        String zero = event("{\"index\":0,\"token\":\"a\"}");
        String one = event("{\"index\":1,\"token\":\"b\"}");
        String done = event("{\"done\":true}");
        List<String> invalid = List.of(
                response("other", zero + done),
                response("r1", one + done),
                response("r1", zero + zero + done),
                response("r1", zero),
                response("r1", zero + "data: {\n\n"),
                response("r1", zero + one + one + done));
        for (String text : invalid) {
            ScriptedPeer peer = closeAfterTest(new ScriptedPeer((head, out, socket) -> ScriptedPeer.text(out, text)));
            RecordingTokenListener tokens = new RecordingTokenListener();
            new HttpDecodeEngine(client, peer.address(), SELF)
                    .decode(new DecodeRequest(id("r1"), 0, 2, 5_000, deadlineIn(20_000)), tokens);
            failureOf(IOException.class, tokens.end);
            assertTrue(List.of("a", "b").subList(0, tokens.texts.size()).equals(tokens.texts), text);
        }
    }

    private static String event(String json) {
        return "data: " + json + "\n\n";
    }

    private static String response(String requestId, String body) {
        return "HTTP/1.1 200 OK\r\nGuavathread-Request-Id: " + requestId + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private HttpDecodeEngine adapter(FakeDecodeEngine engine) {
        return new HttpDecodeEngine(client, addressOf(engine), SELF);
    }

    private static PrefillRequest prompt(String id, String prompt, List<Long> hashes) {
        return new PrefillRequest(id(id), MODEL, prompt, 300, hashes, 1, deadlineIn(20_000));
    }

    private static EngineOrder loadOrder(long fencing) {
        return new EngineOrder(
                fencing,
                EngineOrder.Action.LOAD_MODEL,
                Optional.of(new ModelId("notas")),
                Optional.of("2"),
                Optional.empty(),
                NO_DEADLINE,
                deadlineIn(20_000));
    }

    private static List<String> expected(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(index -> FakeDecodeEngine.tokenOf(PROMPT, index))
                .toList();
    }

    private void prefillAndImport(RequestId id, FakePrefillEngine prefill, FakeDecodeEngine decode, String prompt)
            throws Exception {
        get(adapter(decode).reserve(id, 3, deadlineIn(20_000)));
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, addressOf(prefill), SELF);
        PrefillResult result = get(adapter.prefill(prompt(id.value(), prompt, List.of())));
        assertEquals(
                new KvExport(id, result.handle(), result.kvBytes()),
                get(adapter.export(id, result.handle(), deadlineIn(20_000))));
        get(adapter(decode).importKv(id, addressOf(prefill), result.handle(), deadlineIn(20_000)));
    }
}
