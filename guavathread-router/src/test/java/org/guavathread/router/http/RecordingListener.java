package org.guavathread.router.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the calls of a streamed response. */
final class RecordingListener implements HttpResponseListener {

    final List<String> events = new CopyOnWriteArrayList<>();
    final CompletableFuture<Void> end = new CompletableFuture<>();

    @Override
    public void onHead(HttpHead head) {
        events.add("head " + head.status());
    }

    @Override
    public void onBytes(byte[] bytes) {
        events.add(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onDone() {
        events.add("done");
        end.complete(null);
    }

    @Override
    public void onFailure(HttpExchangeException failure) {
        events.add("failure");
        end.completeExceptionally(failure);
    }
}
