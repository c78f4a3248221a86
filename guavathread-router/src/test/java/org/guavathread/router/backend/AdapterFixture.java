package org.guavathread.router.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpClientSettings;
import org.guavathread.standin.Standin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** HTTP client, constants and helpers shared by the adapter tests. */
abstract class AdapterFixture {

    static final Owner SELF = new Owner(new HostId("curico-1"), new Incarnation(1_000));
    static final ModelId MODEL = new ModelId("resumidor");
    static final long NO_DEADLINE = Long.MAX_VALUE;

    final List<AutoCloseable> resources = new ArrayList<>();
    HttpClient client;

    @BeforeEach
    void startClient() throws Exception {
        client = HttpClient.start(
                HttpClientSettings.DEFAULTS.withConnectTimeoutMillis(10_000), System::currentTimeMillis);
    }

    @AfterEach
    void closeAll() throws Exception {
        client.close();
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    <T extends AutoCloseable> T closeAfterTest(T closeable) {
        resources.add(closeable);
        return closeable;
    }

    static SocketAddressText addressOf(Standin standin) {
        return SocketAddressText.parse(standin.address());
    }

    static RequestId id(String value) {
        return new RequestId(value);
    }

    static long deadlineIn(long millis) {
        return System.currentTimeMillis() + millis;
    }

    static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(20, TimeUnit.SECONDS);
    }

    static <E extends Throwable> E failureOf(Class<E> kind, CompletableFuture<?> future) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> get(future));
        return assertInstanceOf(kind, failure.getCause());
    }

    /** Records a token stream. */
    static final class RecordingTokenListener implements TokenListener {

        final List<String> texts = new CopyOnWriteArrayList<>();
        final List<Integer> indices = new CopyOnWriteArrayList<>();
        final CompletableFuture<Void> end = new CompletableFuture<>();

        @Override
        public void onToken(int index, String token) {
            indices.add(index);
            texts.add(token);
        }

        @Override
        public void onDone() {
            end.complete(null);
        }

        @Override
        public void onFailure(Throwable failure) {
            end.completeExceptionally(failure);
        }
    }
}
