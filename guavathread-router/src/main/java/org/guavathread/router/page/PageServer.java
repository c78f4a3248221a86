package org.guavathread.router.page;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.Function;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpDate;
import org.guavathread.router.supervisor.Supervised;
import org.tinylog.Logger;

/**
 * HTTP server for pages that are computed without blocking, such as probes and metrics.
 *
 * <pre>{@code
 * new PageServer("metrics", address, Map.of("/metrics", query -> Page.text(200, text))).start();
 * }</pre>
 */
public final class PageServer implements Supervised {

    private final String name;
    private final SocketAddressText listen;
    private final Map<String, Function<Query, Page>> pages;
    private final HttpServer server = new HttpServer();

    /** The query of a request. */
    @FunctionalInterface
    public interface Query {

        /**
         * Reads a parameter.
         *
         * @param name name of the parameter
         * @return its value, or an empty string
         */
        String parameter(String name);
    }

    /**
     * A response.
     *
     * @param status the HTTP status
     * @param contentType the content type
     * @param body the body
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Page(int status, String contentType, byte[] body) {

        /**
         * Creates a response without a body.
         *
         * @param status the HTTP status
         * @return the response
         */
        public static Page empty(int status) {
            return new Page(status, "text/plain", new byte[0]);
        }
    }

    /**
     * Builds a server.
     *
     * @param name name of the server in logs
     * @param listen the address to listen on
     * @param pages computes the response of each path; runs on a network thread and must not block
     */
    public PageServer(String name, SocketAddressText listen, Map<String, Function<Query, Page>> pages) {
        this.name = name;
        this.listen = listen;
        this.pages = Map.copyOf(pages);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        NetworkListener listener = new NetworkListener(name, listen.ip(), listen.port());
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getTransport().setSelectorRunnersCount(1);
        listener.getTransport().setTcpNoDelay(true);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Handler(), "/");
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + listen + " for " + name + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void stop() {
        server.shutdownNow();
    }

    /** Responds with the page of the requested path. */
    private final class Handler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws IOException {
            Function<Query, Page> page = pages.get(request.getRequestURI());
            Page answer;
            try {
                answer = page == null
                        ? Page.empty(404)
                        : page.apply(parameter -> {
                            String value = request.getParameter(parameter);
                            return value == null ? "" : value;
                        });
            } catch (RuntimeException e) {
                Logger.error(e, "The page {} of {} failed.", request.getRequestURI(), name);
                answer = Page.empty(500);
            }
            response.setStatus(answer.status());
            response.setHeader(HttpDate.HEADER, HttpDate.now());
            response.setContentType(answer.contentType());
            response.setContentLength(answer.body().length);
            response.getOutputStream().write(answer.body());
        }
    }
}
