package org.guavathread.router.flow;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.placement.Grant;
import org.guavathread.core.placement.PlaceRelease.Ending;
import org.guavathread.core.placement.PrefixHash;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.retry.ResumeTracker;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.backend.DecodeEngine;
import org.guavathread.router.backend.DecodeRequest;
import org.guavathread.router.backend.PrefillEngine;
import org.guavathread.router.backend.PrefillRequest;
import org.guavathread.router.backend.PrefillResult;
import org.guavathread.router.backend.ReserveResult;
import org.guavathread.router.backend.TokenListener;
import org.guavathread.router.backend.TokenStream;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.service.LimitService;
import org.guavathread.router.service.PlacementService;
import org.guavathread.router.service.RetryService;

/**
 * Runs one admitted language request: grant, reservation on the decode engine, prefill, KV transfer, decode. After a failed
 * step the request starts over with a new grant if its kind and the retry budget allow it. Late results of an earlier grant
 * carry an outdated source number and are ignored. All state changes happen under the lock of this object.
 */
final class LanguageRun {

    /** Latency targets: first token within 310 ms, at most 26 ms between tokens. */
    static final long FIRST_TOKEN_TARGET_MILLIS = 310;

    static final long TOKEN_GAP_TARGET_MILLIS = 26;

    /** Sets the deadline of the whole answer, so that a stream that misses its latency target is still bounded. */
    private static final long MAX_MILLIS_PER_TOKEN = 100;

    private static final long RESERVE_TIMEOUT_MILLIS = 1_000;
    private static final long IMPORT_TIMEOUT_MILLIS = 2_000;

    /** Ten times the slowest decode step; after this time without a token the stream is resumed on another engine. */
    private static final long STREAM_IDLE_TIMEOUT_MILLIS = 1_000;

    /** Limits the retries that the retry budget does not count, as after a refused reservation, which costs nothing. */
    private static final int MAX_UNCHARGED_RETRIES = 5;

    /** Services that a run uses. */
    record Services(
            LimitService limits,
            PlacementService placement,
            RetryService retries,
            BackendRegistry backends,
            RouterMetrics metrics,
            Clock clock) {}

    private final RequestContext context;
    private final LanguageRequest request;
    private final Services services;
    private final AnswerSink sink;
    private final ResumeTracker tracker = new ResumeTracker();
    private final List<PrefixHash> prefixHashes;
    private final StringBuilder generated = new StringBuilder();
    private Grant grant;
    private TokenStream stream;
    private boolean prefilled;
    private boolean ended;
    private int unchargedRetries;
    private long lastTokenAtMillis;
    private boolean gapTargetMet = true;
    private boolean firstTokenTargetMet;

    LanguageRun(RequestContext context, LanguageRequest request, Services services) {
        this.context = context;
        this.request = request;
        this.services = services;
        this.sink = new AnswerSink(context, request);
        this.prefixHashes = request.prefixHashes();
    }

    /** Requests engines; called again after a failure. */
    synchronized void place() {
        if (ended) {
            return;
        }
        int source = tracker.source();
        services.placement()
                .place(requirements())
                .whenComplete((granted, failure) -> runStep(source, failure, () -> reserve(source, granted)));
    }

    /** Ends the request with a refusal, or aborts its stream if that has begun. */
    synchronized void refuse(Refusal refusal) {
        if (ended) {
            return;
        }
        release(Ending.CANCELLED);
        end();
        if (sink.isOpen()) {
            sink.abort("stream cut: " + refusal.code());
        } else {
            context.refuse(refusal);
        }
    }

    /** Ends the request without an answer. */
    synchronized void stop(String reason) {
        if (ended) {
            return;
        }
        release(Ending.CANCELLED);
        end();
        sink.abort(reason);
    }

    /** Ends the work. The caller of this method must write a refusal unless a stream is open. */
    synchronized void cancel() {
        if (sink.isOpen()) {
            stop("stream cut");
            return;
        }
        if (!ended) {
            release(Ending.CANCELLED);
            end();
        }
    }

    private void reserve(int source, Grant granted) {
        grant = granted;
        prefilled = false;
        context.trace("granted prefill " + granted.prefill() + ", decode " + granted.decode() + ", " + granted.pieces()
                + " pieces");
        DecodeEngine engine = services.backends().decode(granted.decode()).orElse(null);
        PrefillEngine prefill = services.backends().prefill(granted.prefill()).orElse(null);
        if (engine == null || prefill == null) {
            retryOrFail(Ending.CANCELLED, false, "an engine left the sheet");
            return;
        }
        engine.reserve(id(), granted.pieces(), now() + RESERVE_TIMEOUT_MILLIS)
                .whenComplete((result, failure) -> runStep(source, null, () -> {
                    if (failure != null) {
                        retryOrFail(Ending.DECODE_FAILED, false, "reserve failed: " + messageOf(failure));
                    } else if (result == ReserveResult.INSUFFICIENT_MEMORY) {
                        retryOrFail(Ending.DECODE_FULL, false, "decode engine " + granted.decode() + " is full");
                    } else {
                        prefill(source, prefill, engine);
                    }
                }));
    }

    private void prefill(int source, PrefillEngine prefill, DecodeEngine engine) {
        context.markDispatched();
        long startedAtMillis = now();
        PrefillRequest prefillRequest = new PrefillRequest(
                id(),
                request.model(),
                request.prompt() + generated,
                promptTokens(),
                prefixHashes.stream().map(PrefixHash::value).toList(),
                1 - context.kind().priorityClass(),
                answerDeadlineMillis());
        prefill.prefill(prefillRequest)
                .whenComplete((result, failure) -> runStep(source, null, () -> {
                    if (failure != null) {
                        reportCrash(grant.prefill(), failure);
                        retryOrFail(Ending.PREFILL_FAILED, true, "prefill failed: " + messageOf(failure));
                        return;
                    }
                    services.placement().prefillDone(id(), result.cachedTokens(), (int) (now() - startedAtMillis));
                    importKv(source, result, engine);
                }));
    }

    private void importKv(int source, PrefillResult result, DecodeEngine engine) {
        SocketAddressText from = services.backends().addressOf(grant.prefill()).orElse(null);
        if (from == null) {
            countWastedPrefill(result);
            retryOrFail(Ending.PREFILL_FAILED, true, "the prefill engine left the sheet");
            return;
        }
        engine.importKv(id(), from, result.handle(), now() + IMPORT_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> runStep(source, null, () -> {
                    if (failure != null) {
                        countWastedPrefill(result);
                        retryOrFail(Ending.DECODE_FAILED, true, "transfer failed: " + messageOf(failure));
                        return;
                    }
                    services.metrics().countPrefill(result.promptTokens() - result.cachedTokens(), true);
                    services.placement().imported(id());
                    prefilled = true;
                    decode(source, engine);
                }));
    }

    private void countWastedPrefill(PrefillResult result) {
        services.metrics().countPrefill(result.promptTokens() - result.cachedTokens(), false);
    }

    private void decode(int source, DecodeEngine engine) {
        DecodeRequest decodeRequest = new DecodeRequest(
                id(), tracker.nextOffset(), request.maxTokens(), STREAM_IDLE_TIMEOUT_MILLIS, answerDeadlineMillis());
        stream = engine.decode(decodeRequest, new Listener(source));
    }

    private synchronized void onToken(int source, int index, String token) {
        if (ended) {
            return;
        }
        ResumeTracker.Step step = tracker.token(source, index, token);
        for (String each : step.send()) {
            generated.append(each);
            observeToken();
        }
        if (!sink.write(step.send())) {
            stop("the caller is gone");
            return;
        }
        if (!step.send().isEmpty()) {
            services.placement().progressed(id(), tracker.nextOffset());
        }
    }

    private synchronized void onDone(int source) {
        if (ended || source != tracker.source()) {
            return;
        }
        tracker.done(source, tracker.nextOffset());
        release(Ending.FINISHED);
        long unused = Math.max(0, request.maxTokens() - sink.tokens());
        services.metrics().countGoodput(firstTokenTargetMet && gapTargetMet);
        end(unused);
        sink.finish();
    }

    private synchronized void onStreamFailure(int source, Throwable failure) {
        if (ended || source != tracker.source()) {
            return;
        }
        tracker.broken(source);
        reportCrash(grant.decode(), failure);
        retryOrFail(Ending.DECODE_FAILED, true, "decode failed: " + messageOf(failure));
    }

    /** Runs the next step unless the request has ended or a newer grant has replaced the one of this step. */
    private synchronized void runStep(int source, Throwable failure, Runnable next) {
        if (ended || source != tracker.source()) {
            return;
        }
        if (failure != null) {
            Refusal refusal = Failures.beforeDispatch(failure);
            end();
            if (sink.isOpen()) {
                sink.abort("stream cut: " + refusal.message());
            } else {
                context.refuse(refusal);
            }
            return;
        }
        next.run();
    }

    /** Releases the grant and requests another one; if engine work was lost, the retry is charged to the retry budget. */
    private void retryOrFail(Ending ending, boolean charged, String reason) {
        context.trace(reason);
        release(ending);
        boolean allowed = charged
                ? services.retries().tryRetry(id(), context.kind())
                : ++unchargedRetries <= MAX_UNCHARGED_RETRIES;
        if (allowed && now() < answerDeadlineMillis()) {
            services.metrics().countRetry(charged ? "engine" : "reserve");
            tracker.resume();
            place();
            return;
        }
        end();
        if (sink.isOpen()) {
            sink.abort("stream cut: " + reason);
        } else {
            context.refuse(Refusal.notRun(
                            charged ? RefusalCode.BACKEND_FAILED : RefusalCode.NO_ROOM,
                            "The engines could not serve the request (" + reason + "); send it again.")
                    .retryAfter(1_000));
        }
    }

    private void release(Ending ending) {
        if (stream != null) {
            TokenStream open = stream;
            stream = null;
            if (ending != Ending.FINISHED) {
                open.cancel();
            }
        }
        if (grant != null && ending != Ending.FINISHED) {
            services.placement().cancelOnEngine(grant.decode(), id());
            if (!prefilled) {
                services.placement().cancelOnEngine(grant.prefill(), id());
            }
        }
        grant = null;
        services.placement().release(id(), ending, sink.tokens());
    }

    private void end() {
        end(context.isDispatched() ? 0 : (long) request.promptTokens() + request.maxTokens());
    }

    private void end(long unusedTokens) {
        ended = true;
        services.limits().cancel(id());
        services.limits().end(id(), unusedTokens);
    }

    /** Reports the fingerprint of the request, so that every host recognises a resend of it. */
    private void reportCrash(BackendServerId server, Throwable failure) {
        if (Failures.isConnectionLost(failure)) {
            services.retries().connectionLost(server, request.fingerprint(context.workspace()));
        }
    }

    private void observeToken() {
        long now = now();
        if (lastTokenAtMillis == 0) {
            long millis = now - context.exchange().arrivedAtMillis();
            firstTokenTargetMet = millis <= FIRST_TOKEN_TARGET_MILLIS;
            services.metrics().observeFirstToken(millis);
        } else {
            long gap = now - lastTokenAtMillis;
            gapTargetMet &= gap <= 2 * TOKEN_GAP_TARGET_MILLIS;
            services.metrics().observeTokenGap(gap);
        }
        lastTokenAtMillis = now;
    }

    private PlacementService.Requirements requirements() {
        return new PlacementService.Requirements(
                id(),
                request.model(),
                context.workspace(),
                context.kind(),
                promptTokens(),
                request.maxTokens() - tracker.nextOffset(),
                prefixHashes,
                context.exchange().arrivedAtMillis() + FIRST_TOKEN_TARGET_MILLIS,
                answerDeadlineMillis());
    }

    private int promptTokens() {
        return request.promptTokens() + tracker.nextOffset();
    }

    private long answerDeadlineMillis() {
        return context.firstByteDeadlineMillis() + MAX_MILLIS_PER_TOKEN * request.maxTokens();
    }

    private RequestId id() {
        return context.id();
    }

    private long now() {
        return services.clock().nowMillis();
    }

    private static String messageOf(Throwable failure) {
        return String.valueOf(Failures.causeOf(failure).getMessage());
    }

    /** Forwards the events of one decode call with the source number under which the call was made. */
    private final class Listener implements TokenListener {

        private final int source;

        Listener(int source) {
            this.source = source;
        }

        @Override
        public void onToken(int index, String token) {
            LanguageRun.this.onToken(source, index, token);
        }

        @Override
        public void onDone() {
            LanguageRun.this.onDone(source);
        }

        @Override
        public void onFailure(Throwable failure) {
            onStreamFailure(source, failure);
        }
    }
}
