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

/** Guards the engine protocol: whole outputs, resumption, room, release, orders and late reports. */
class EngineAdaptersTest extends AdapterFixture {

    private static final String PROMPT = "Resume el lote 7";

    @Test
    void requestPassesFromPrefillToDecodeAndFreesItsMemory() throws Exception {
        FakePrefillEngine prefill = closing(FakePrefillEngine.builder().start());
        FakeDecodeEngine decode = closing(FakeDecodeEngine.builder().start());
        Tokens tokens = new Tokens();
        bring(id("r1"), prefill, decode, PROMPT);
        assertEquals(3, decode.usedPieces());
        adapter(decode).decode(new DecodeRequest(id("r1"), 0, 50, 5_000, in(20_000)), tokens);
        get(tokens.end);
        assertEquals(expected(0, 50), tokens.texts);
        assertEquals(0, decode.usedPieces());
        assertEquals(1, prefill.runs("r1"));
        assertEquals(1, decode.runs("r1"));
    }

    @Test
    void brokenStreamResumesAtItsOffsetOnAnotherEngine() throws Exception {
        FakePrefillEngine prefill = closing(FakePrefillEngine.builder().start());
        FakeDecodeEngine first = closing(FakeDecodeEngine.builder().start());
        FakeDecodeEngine second = closing(FakeDecodeEngine.builder().start());
        first.faults().dropStreamAfterTokens(4);
        Tokens tokens = new Tokens();
        bring(id("r1"), prefill, first, PROMPT);
        adapter(first).decode(new DecodeRequest(id("r1"), 0, 10, 5_000, in(20_000)), tokens);
        failureOf(ExchangeFailedException.class, tokens.end);
        assertEquals(3, first.usedPieces());
        bring(id("r1"), prefill, second, PROMPT);
        Tokens rest = new Tokens();
        adapter(second).decode(new DecodeRequest(id("r1"), tokens.texts.size(), 10, 5_000, in(20_000)), rest);
        get(rest.end);
        List<String> whole = new ArrayList<>(tokens.texts);
        whole.addAll(rest.texts);
        assertEquals(expected(0, 10), whole);
    }

    @Test
    void silentTokenStreamFails() throws Exception {
        FakePrefillEngine prefill = closing(FakePrefillEngine.builder().start());
        FakeDecodeEngine decode = closing(FakeDecodeEngine.builder().start());
        decode.faults().stallStreamAfterTokens(2);
        Tokens tokens = new Tokens();
        bring(id("r1"), prefill, decode, PROMPT);
        adapter(decode).decode(new DecodeRequest(id("r1"), 0, 10, 2_000, in(20_000)), tokens);
        failureOf(ExchangeFailedException.class, tokens.end);
        assertEquals(expected(0, 2), tokens.texts);
        assertEquals(Set.of("r1"), decode.heldRequests());
    }

    @Test
    void reservationsAreBoundedListedByHostAndCancelled() throws Exception {
        FakeDecodeEngine decode =
                closing(FakeDecodeEngine.builder().memoryPieces(5).start());
        HttpDecodeEngine mine = adapter(decode);
        Owner other = new Owner(new HostId("talca-1"), new Incarnation(7));
        HttpDecodeEngine theirs = new HttpDecodeEngine(client, at(decode), other);
        assertEquals(ReserveResult.RESERVED, get(mine.reserve(id("a"), 3, in(20_000))));
        assertEquals(ReserveResult.RESERVED, get(theirs.reserve(id("b"), 2, in(20_000))));
        assertEquals(ReserveResult.INSUFFICIENT_MEMORY, get(mine.reserve(id("c"), 1, in(20_000))));
        assertEquals(
                List.of(new EngineRequest(id("b"), other, "reserved", 2)), get(mine.list(other.host(), in(20_000))));
        get(mine.cancel(id("b"), in(20_000)));
        get(mine.cancel(id("unknown"), in(20_000)));
        assertEquals(ReserveResult.RESERVED, get(mine.reserve(id("c"), 2, in(20_000))));
        assertEquals(Set.of("a", "c"), decode.heldRequests());
    }

    @Test
    void loadReportsLag() throws Exception {
        FakeDecodeEngine current = closing(FakeDecodeEngine.builder().start());
        FakeDecodeEngine lagging =
                closing(FakeDecodeEngine.builder().loadLagMillis(600_000).start());
        for (FakeDecodeEngine engine : List.of(current, lagging)) {
            get(adapter(engine).reserve(id("a"), 3, in(20_000)));
        }
        EngineLoad load = get(adapter(current).load(in(20_000)));
        assertEquals(new EngineLoad(20, 3, 0, 1, 0, 0, List.of(MODEL), Map.of(), EngineRole.DECODE), load);
        EngineLoad old = get(adapter(lagging).load(in(20_000)));
        assertEquals(0, old.usedPieces());
        assertEquals(600_000, old.ageMillis());
    }

    @Test
    void ordersAreFencedOnlyByEnginesThatCheck() throws Exception {
        FakeWeightStore store = closing(FakeWeightStore.builder().start().put("notas-2", 100_000));
        FakeDecodeEngine checking =
                closing(FakeDecodeEngine.builder().weightStore(store.address()).start());
        FakeDecodeEngine ignoring =
                closing(FakeDecodeEngine.builder().checksOrders(false).start());
        assertEquals(OrderResult.ACCEPTED, get(adapter(checking).order(load(10))));
        assertEquals(OrderResult.OLD_FENCING_NUMBER, get(adapter(checking).order(load(9))));
        assertEquals(OrderResult.ACCEPTED, get(adapter(ignoring).order(load(10))));
        assertEquals(OrderResult.ACCEPTED, get(adapter(ignoring).order(load(9))));
        Polling.until("model is loaded", () -> checking.models().contains("notas"));
        assertEquals(10, get(adapter(checking).load(in(20_000))).fencing());
        failureOf(
                RequestNotSentException.class,
                adapter(checking)
                        .order(new EngineOrder(
                                11,
                                EngineOrder.Action.CHANGE_ROLE,
                                Optional.empty(),
                                Optional.empty(),
                                Optional.of(EngineRole.PREFILL),
                                in(-1),
                                in(20_000))));
        assertEquals("decode", checking.role());
    }

    @Test
    void prefixEventsTellOfTheCacheWithGaps() throws Exception {
        FakePrefillEngine prefill = closing(
                FakePrefillEngine.builder().prefixCache(4, 100).events(0, 3).start());
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, at(prefill), SELF);
        assertEquals(
                0,
                get(adapter.prefill(prompt("r1", PROMPT, List.of(1L, 2L, 3L)))).cachedTokens());
        assertEquals(
                200,
                get(adapter.prefill(prompt("r2", PROMPT, List.of(1L, 2L, 4L, 5L))))
                        .cachedTokens());
        List<PrefixEvent> events = get(adapter.prefixEvents(1, in(20_000)));
        assertEquals(
                List.of(new PrefixEvent(2, true, 2), new PrefixEvent(4, true, 4), new PrefixEvent(5, true, 5)), events);
    }

    @Test
    void expiredKvCacheIsReported() throws Exception {
        FakePrefillEngine prefill =
                closing(FakePrefillEngine.builder().keepMillis(1).start());
        FakeDecodeEngine decode = closing(FakeDecodeEngine.builder().start());
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, at(prefill), SELF);
        PrefillResult result = get(adapter.prefill(prompt("r1", PROMPT, List.of())));
        Polling.until("KV cache expired", () -> prefill.expiredCaches() == 1);
        assertEquals(
                410,
                failureOf(BackendAnswerException.class, adapter.export(id("r1"), result.handle(), in(20_000)))
                        .status());
        get(adapter(decode).reserve(id("r1"), 1, in(20_000)));
        failureOf(
                BackendAnswerException.class,
                adapter(decode).importKv(id("r1"), at(prefill), result.handle(), in(20_000)));
    }

    @Test
    void requestThatCrashesItsEngineBreaksTheConnection() throws Exception {
        FakePrefillEngine prefill = closing(FakePrefillEngine.builder().start());
        prefill.faults().crashMarker("veneno");
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, at(prefill), SELF);
        failureOf(ExchangeFailedException.class, adapter.prefill(prompt("r1", "un veneno", List.of())));
        failureOf(RequestNotSentException.class, adapter.prefill(prompt("r2", PROMPT, List.of())));
        prefill.restart();
        get(adapter.prefill(prompt("r3", PROMPT, List.of())));
        assertEquals(1, prefill.crashes());
    }

    @Test
    void streamsThatDoNotFitTheRequestFail() throws Exception {
        String zero = event("{\"index\":0,\"token\":\"a\"}");
        String one = event("{\"index\":1,\"token\":\"b\"}");
        String done = event("{\"done\":true}");
        List<String> wrong = List.of(
                answer("other", zero + done),
                answer("r1", one + done),
                answer("r1", zero + zero + done),
                answer("r1", zero),
                answer("r1", zero + "data: {\n\n"),
                answer("r1", zero + one + one + done));
        for (String text : wrong) {
            ScriptedPeer peer = closing(new ScriptedPeer((head, out, socket) -> ScriptedPeer.text(out, text)));
            Tokens tokens = new Tokens();
            new HttpDecodeEngine(client, peer.address(), SELF)
                    .decode(new DecodeRequest(id("r1"), 0, 2, 5_000, in(20_000)), tokens);
            failureOf(IOException.class, tokens.end);
            assertTrue(List.of("a", "b").subList(0, tokens.texts.size()).equals(tokens.texts), text);
        }
    }

    private static String event(String json) {
        return "data: " + json + "\n\n";
    }

    private static String answer(String requestId, String body) {
        return "HTTP/1.1 200 OK\r\nGuavathread-Request-Id: " + requestId + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private HttpDecodeEngine adapter(FakeDecodeEngine engine) {
        return new HttpDecodeEngine(client, at(engine), SELF);
    }

    private static PrefillRequest prompt(String id, String prompt, List<Long> hashes) {
        return new PrefillRequest(id(id), MODEL, prompt, 300, hashes, 1, in(20_000));
    }

    private static EngineOrder load(long fencing) {
        return new EngineOrder(
                fencing,
                EngineOrder.Action.LOAD_MODEL,
                Optional.of(new ModelId("notas")),
                Optional.of("2"),
                Optional.empty(),
                NEVER,
                in(20_000));
    }

    private static List<String> expected(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(index -> FakeDecodeEngine.tokenOf(PROMPT, index))
                .toList();
    }

    private void bring(RequestId id, FakePrefillEngine prefill, FakeDecodeEngine decode, String prompt)
            throws Exception {
        get(adapter(decode).reserve(id, 3, in(20_000)));
        HttpPrefillEngine adapter = new HttpPrefillEngine(client, at(prefill), SELF);
        PrefillResult result = get(adapter.prefill(prompt(id.value(), prompt, List.of())));
        assertEquals(
                new KvExport(id, result.handle(), result.kvBytes()),
                get(adapter.export(id, result.handle(), in(20_000))));
        get(adapter(decode).importKv(id, at(prefill), result.handle(), in(20_000)));
    }
}
