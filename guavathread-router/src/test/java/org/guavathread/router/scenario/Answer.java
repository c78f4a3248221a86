package org.guavathread.router.scenario;

import java.io.IOException;
import java.net.http.HttpHeaders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** A complete HTTP answer of a host. */
record Answer(int status, HttpHeaders headers, String body) {

    static final ObjectMapper JSON = new ObjectMapper();

    JsonNode json() {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new AssertionError("The answer is not JSON: " + this, e);
        }
    }

    String errorCode() {
        return json().at("/error/code").asText();
    }

    String run() {
        return json().at("/error/run").asText();
    }

    @Override
    public String toString() {
        return status + " " + body;
    }
}
