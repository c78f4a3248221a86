package org.guavathread.router.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.guavathread.core.sheet.SocketAddressText;

/** A server whose behaviour on the socket is scripted by the test, byte by byte. */
public final class ScriptedPeer implements AutoCloseable {

    /** Handles one request; the connection is closed when it returns false. */
    @FunctionalInterface
    public interface Script {
        boolean answer(String head, OutputStream out, Socket socket) throws IOException;
    }

    private final ServerSocket server;
    private final Script script;
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger ended = new AtomicInteger();

    /** Starts a peer on a free port. */
    public ScriptedPeer(Script script) throws IOException {
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        daemon(this::accept);
    }

    /** Writes text unchanged. */
    public static boolean text(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    static boolean ok(OutputStream out, String body) throws IOException {
        return text(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    public SocketAddressText address() {
        return new SocketAddressText("127.0.0.1", server.getLocalPort());
    }

    /** Counts requests whose head contains the text. */
    long received(String text) {
        return heads.stream().filter(head -> head.contains(text)).count();
    }

    int connections() {
        return sockets.size();
    }

    /** Counts connections that the peer has seen end. */
    int endedConnections() {
        return ended.get();
    }

    /** Resets all connections and waits until they have ended, so that the next write to one fails. */
    void resetConnections() {
        endConnections(true);
    }

    /** Closes all connections in an orderly way and waits until they have ended. */
    void closeConnections() {
        endConnections(false);
    }

    private void endConnections(boolean reset) {
        for (Socket socket : sockets) {
            try {
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
                socket.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        try {
            // A socket stays open until the thread that reads from it has woken up.
            Polling.until("connections are ended", () -> ended.get() == sockets.size());
        } catch (InterruptedException e) {
            throw new IllegalStateException("The test was interrupted.", e);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has closed the peer.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            while (head != null && script.answer(head, socket.getOutputStream(), socket)) {
                head = readHead(socket.getInputStream());
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
        ended.incrementAndGet();
    }

    private String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                heads.add(head.toString(StandardCharsets.ISO_8859_1));
                return heads.get(heads.size() - 1);
            }
        }
        return null;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-peer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
