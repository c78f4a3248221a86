package org.guavathread.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the stand-ins through their HTTP interface: printed addresses, fault injection, run counts and values. */
class StandinMainTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    // Grizzly waits for the end of the connection when a request with a body offers an upgrade to HTTP/2.
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Test
    void allStandinsStartAndAreControlledOverHttp() throws Exception {
        try (StandinMain main = StandinMain.of("--prefill", "2", "--service", "1", "--run-millis", "0")) {
            JsonNode addresses = MAPPER.readTree(main.start());
            assertEquals(2, addresses.get("prefill").size());
            for (String kind : new String[] {"configService", "hostList", "weightStore"}) {
                String faults = send("GET", addresses.get(kind).asText(), "/standin/faults", "")
                        .body();
                assertTrue(faults.contains("\"crashMarker\":\"\""), faults);
            }
            String service = addresses.get("service").get(0).asText();
            send("POST", service, "/standin/faults", "{\"refuse\":1}");
            assertEquals(503, send("POST", service, "/book", "{}").statusCode());
            assertEquals(200, send("POST", service, "/book", "{}").statusCode());
            String runs = send("GET", service, "/standin/runs?header=Idempotency-Key&value=k1", "")
                    .body();
            assertEquals("{\"runs\":1}", runs);
            String contains =
                    send("GET", service, "/standin/received?contains=k1", "").body();
            assertEquals("{\"contains\":true}", contains);
            assertEquals(
                    2,
                    MAPPER.readTree(send("GET", service, "/standin/received", "")
                                    .body())
                            .size());
            String config = addresses.get("configService").asText();
            send("PUT", config, "/standin/values/sheet?version=3", "text");
            HttpResponse<String> value = send("GET", config, "/config/sheet", "");
            assertEquals("3 text", value.headers().firstValue("Config-Version").orElse("") + " " + value.body());
        }
    }

    private HttpResponse<String> send(String method, String address, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Idempotency-Key", "k1")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
