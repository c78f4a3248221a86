package org.guavathread.router.flow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.Refusal;
import org.guavathread.router.caller.CallerExchange;

/** A caller's request without a network; records its refusals. */
final class FakeExchange implements CallerExchange {

    final List<Refusal> refusals = new ArrayList<>();
    final Map<String, String> headers = new HashMap<>();
    private final RequestId id;

    FakeExchange(String id) {
        this.id = new RequestId(id);
    }

    FakeExchange header(String name, String value) {
        headers.put(name, value);
        return this;
    }

    @Override
    public RequestId id() {
        return id;
    }

    @Override
    public long arrivedAtMillis() {
        return 1_000;
    }

    @Override
    public String method() {
        return "POST";
    }

    @Override
    public String path() {
        return "/v1/services/booking";
    }

    @Override
    public String query() {
        return "";
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    @Override
    public Map<String, String> headers() {
        return headers;
    }

    @Override
    public byte[] body() {
        return new byte[0];
    }

    @Override
    public void onDisconnect(Runnable action) {}

    @Override
    public boolean isFinished() {
        return !refusals.isEmpty();
    }

    @Override
    public void refuse(Refusal refusal) {
        refusals.add(refusal);
    }

    @Override
    public void answer(int status, Map<String, String> answerHeaders, byte[] body) {}

    @Override
    public Optional<StreamBody> openStream(int status, Map<String, String> answerHeaders) {
        return Optional.empty();
    }
}
