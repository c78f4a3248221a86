package org.guavathread.router.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A language answer on a dedicated connection, read by a dedicated thread. */
final class StreamedAnswer implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 60_000;

    private final Socket socket;
    private final List<String> tokens = new ArrayList<>();
    private final CompletableFuture<Boolean> end = new CompletableFuture<>();
    private volatile String head = "";

    private StreamedAnswer(Socket socket) {
        this.socket = socket;
    }

    static StreamedAnswer open(String address, Map<String, String> headers, String body) {
        int colon = address.lastIndexOf(':');
        try {
            Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            StringBuilder head = new StringBuilder("POST /v1/chat/completions HTTP/1.1\r\nHost: " + address + "\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length);
            socket.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            StreamedAnswer answer = new StreamedAnswer(socket);
            Thread reader = new Thread(answer::read, "streamed-answer");
            reader.setDaemon(true);
            reader.start();
            return answer;
        } catch (IOException e) {
            throw new IllegalStateException("The stream cannot be opened at " + address + ".", e);
        }
    }

    private void read() {
        boolean whole = false;
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            head = String.valueOf(in.readLine());
            for (String line = in.readLine(); line != null && !whole; line = in.readLine()) {
                whole = line.equals("data: [DONE]");
                if (line.startsWith("data: {")) {
                    add(Answer.JSON
                            .readTree(line.substring("data: ".length()))
                            .at("/choices/0/delta/content")
                            .asText());
                }
            }
        } catch (IOException e) {
            whole = false;
        } finally {
            end.complete(whole);
        }
    }

    private synchronized void add(String token) {
        tokens.add(token);
    }

    synchronized List<String> tokens() {
        return List.copyOf(tokens);
    }

    String head() {
        return head;
    }

    boolean hasEnded() {
        return end.isDone();
    }

    /** Waits for the end; true if the answer ended with its end marker, false if it was cut. */
    boolean awaitWhole() {
        return end.join();
    }

    @Override
    public void close() {
        if (socket.isClosed()) {
            return;
        }
        try {
            // With a linger time of 0, the host sees a connection reset, as when the process of a caller dies.
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The reader thread closed it first.
            end.complete(false);
        }
    }
}
