package org.guavathread.router.scenario;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A persistent HTTP connection of a caller, used for several requests. */
final class KeptConnection implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private final Socket socket;
    private final String address;

    KeptConnection(String address) throws IOException {
        this.address = address;
        int colon = address.lastIndexOf(':');
        socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    Answer post(String path, String apiKey, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + address + "\r\nAuthorization: Bearer " + apiKey
                + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(bytes);
        InputStream in = socket.getInputStream();
        int status = Integer.parseInt(line(in).split(" ")[1]);
        Map<String, List<String>> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    List.of(line.substring(colon + 1).strip()));
        }
        int length = Integer.parseInt(headers.get("content-length").get(0));
        String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        return new Answer(status, HttpHeaders.of(headers, (name, value) -> true), text);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("The host closed the connection after \"" + line + "\".");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.US_ASCII).strip();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException("A connection cannot be closed.", e);
        }
    }
}
