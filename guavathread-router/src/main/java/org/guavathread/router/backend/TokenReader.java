package org.guavathread.router.backend;

import java.nio.charset.StandardCharsets;

import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpCall;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpResponseListener;

import com.fasterxml.jackson.databind.JsonNode;

/** Converts the events of a decode response into tokens, and fails the stream at the first invalid event. */
final class TokenReader implements HttpResponseListener {

    private final SocketAddressText peer;
    private final DecodeRequest request;
    private final TokenListener listener;
    private final SseReader events = new SseReader();
    private int nextIndex;
    private int status;
    private boolean ended;
    private HttpCall call;
    private boolean cancelRequested;

    TokenReader(SocketAddressText peer, DecodeRequest request, TokenListener listener) {
        this.peer = peer;
        this.request = request;
        this.listener = listener;
        this.nextIndex = request.offset();
    }

    /** Stores the handle of the call; the response may have begun, or failed, before this. */
    void onStarted(HttpCall started) {
        boolean cancelNow;
        synchronized (this) {
            call = started;
            cancelNow = cancelRequested;
        }
        if (cancelNow) {
            started.cancel();
        }
    }

    @Override
    public void onHead(HttpHead head) {
        status = head.status();
        if (!head.isSuccess()) {
            fail("the status is not a success", null);
            return;
        }
        try {
            JsonCalls.checkRequestId(request.requestId(), head);
        } catch (IllegalArgumentException e) {
            fail(e.getMessage(), e);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (ended) {
            return;
        }
        try {
            for (String data : events.read(bytes)) {
                onEvent(JsonFields.parse(data.getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IllegalArgumentException | IllegalStateException e) {
            fail(e.getMessage(), e);
        }
    }

    private void onEvent(JsonNode event) {
        if (ended) {
            return;
        }
        if (event.path("done").asBoolean()) {
            ended = true;
            listener.onDone();
            return;
        }
        int index = JsonFields.integer(event, "index");
        if (index != nextIndex) {
            throw new IllegalArgumentException(
                    "token " + index + " received where token " + nextIndex + " was expected");
        }
        if (index >= request.maxTokens()) {
            throw new IllegalArgumentException(
                    "token " + index + " is not below the limit of " + request.maxTokens() + " tokens");
        }
        String token = JsonFields.text(event, "token");
        nextIndex++;
        listener.onToken(index, token);
    }

    @Override
    public void onDone() {
        fail("the stream ended after " + (nextIndex - request.offset()) + " tokens without the final event", null);
    }

    @Override
    public void onFailure(HttpExchangeException failure) {
        if (!ended) {
            ended = true;
            listener.onFailure(failure);
        }
    }

    private void fail(String reason, Throwable cause) {
        if (ended) {
            return;
        }
        ended = true;
        listener.onFailure(new BackendAnswerException("decode", peer, status, reason, cause));
        HttpCall toCancel;
        synchronized (this) {
            cancelRequested = true;
            toCancel = call;
        }
        if (toCancel != null) {
            toCancel.cancel();
        }
    }
}
