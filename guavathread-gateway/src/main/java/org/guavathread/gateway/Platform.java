package org.guavathread.gateway;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.guavathread.core.publish.ItemDecoder;
import org.guavathread.gateway.protocol.BackendProtocol;
import org.guavathread.gateway.protocol.CallerProtocol;
import org.guavathread.gateway.protocol.StoreClient;
import org.guavathread.gateway.settings.GatewaySettings;
import org.guavathread.gateway.warmup.SampleTraffic;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.page.PageServer;

/** Adapts the gateway to a platform: its protocols, its store and its pages. */
public interface Platform {

    /**
     * Returns the protocol spoken with callers.
     *
     * @param isLeaving whether callers should close their connections after the answer; called on any thread
     * @return the protocol
     */
    CallerProtocol callerProtocol(BooleanSupplier isLeaving);

    /**
     * Returns the protocol spoken with backend servers.
     *
     * @param isLeaving whether callers should close their connections after the answer; called on any thread
     * @return the protocol
     */
    BackendProtocol backendProtocol(BooleanSupplier isLeaving);

    /**
     * Returns the decoder for the store's items.
     *
     * @return the decoder
     */
    ItemDecoder itemDecoder();

    /**
     * Returns example traffic, for the warm-up of a host.
     *
     * @return the traffic
     */
    SampleTraffic sampleTraffic();

    /**
     * Returns a client of the platform's store.
     *
     * @param client sends the calls
     * @param settings contains the store's address
     * @return the client
     */
    StoreClient storeClient(HttpClient client, GatewaySettings settings);

    /**
     * Returns the readiness page.
     *
     * @param answers this host's readiness and entry addresses
     * @return a map from the page's path to its handler
     */
    Map<String, Function<PageServer.Query, PageServer.Page>> readyPages(EntryAnswers answers);

    /**
     * Returns the page that tells callers where to connect.
     *
     * @param answers this host's readiness and entry addresses
     * @param lifetimeSeconds how long callers may cache an answer, in seconds
     * @return a map from the page's path to its handler
     */
    Map<String, Function<PageServer.Query, PageServer.Page>> entryPages(EntryAnswers answers, int lifetimeSeconds);
}
