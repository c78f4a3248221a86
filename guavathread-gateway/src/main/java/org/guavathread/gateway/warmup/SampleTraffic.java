package org.guavathread.gateway.warmup;

import java.util.List;

import org.guavathread.core.publish.StoreItem;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.http.HttpRequest;

/** Example traffic in the platform's formats. It is never sent to another process. */
public interface SampleTraffic {

    /**
     * Returns a configuration and the entries of backend servers, as the store holds them.
     *
     * @param server address of all backend servers
     * @return the items
     */
    List<StoreItem> items(SocketAddressText server);

    /**
     * Returns a caller's request. Successive numbers go through all kinds of requests.
     *
     * @param number number of the request
     * @param deadlineMillis when its caller stops waiting, in milliseconds since the epoch
     * @param nowMillis the current time
     * @return the request
     */
    HttpRequest request(int number, long deadlineMillis, long nowMillis);

    /**
     * Answers a request as a backend server of {@link #items} does.
     *
     * @param exchange the request
     */
    void answer(CallerExchange exchange);
}
