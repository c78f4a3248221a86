package org.guavathread.gateway.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterOutputStream;

import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.publish.StateChange;
import org.guavathread.core.publish.StateSnapshot;
import org.guavathread.core.publish.StoreItem;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.page.PageServer;
import org.guavathread.wire.CodecException;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/** Transfers the published state to hosts that cannot reach the store, or whose store has lost a part of it. */
public final class StateRelay {

    /** Path under which a host serves its state to other hosts. */
    public static final String PATH = "/state";

    private static final int SNAPSHOT_MESSAGE = 1;

    /** Request timeout; after it, the same or another host is asked later. */
    private static final long TIMEOUT_MILLIS = 800;

    private final FrameCodec codec =
            FrameCodec.forSeveralBuilds(new MessageRegistry().register(SNAPSHOT_MESSAGE, StateSnapshot.class));

    /**
     * What the asking host knows.
     *
     * @param position the store's position that it has applied
     * @param version version of the configuration in force there; 0 if none is
     */
    public record Known(StorePosition position, long version) {

        private String query() {
            return "?epoch=" + position.epoch() + "&revision=" + position.revision() + "&version=" + version;
        }

        /**
         * Decodes the query of a request.
         *
         * @param query the query
         * @return what the asking host knows
         * @throws NumberFormatException if a parameter is missing or not a whole number
         */
        public static Known of(PageServer.Query query) {
            return new Known(
                    new StorePosition(
                            Long.parseLong(query.parameter("epoch")), Long.parseLong(query.parameter("revision"))),
                    Long.parseLong(query.parameter("version")));
        }
    }

    /**
     * Encodes what another host does not know of the state.
     *
     * @param state the state
     * @param known what the other host knows
     * @param nowMillis the current time
     * @return the encoded snapshot
     */
    public byte[] encode(PublishedState state, Known known, long nowMillis) {
        Optional<List<StateSnapshot.Item>> items = state.position().isAfter(known.position())
                ? Optional.of(state.items().stream().map(StateRelay::encode).toList())
                : Optional.empty();
        Optional<StateSnapshot.Item> configuration = state.configuration()
                .filter(c -> state.version() > known.version())
                .map(StateRelay::encode);
        return encode(new StateSnapshot(state.position(), items, configuration, state.departures(nowMillis)));
    }

    byte[] encode(StateSnapshot snapshot) {
        return codec.encode(new Frame(0, false, snapshot));
    }

    private static StateSnapshot.Item encode(StoreItem item) {
        return new StateSnapshot.Item(item.key(), item.revision(), deflate(item.value()));
    }

    /**
     * Decodes a snapshot.
     *
     * @param bytes the encoded snapshot
     * @return the snapshot
     * @throws CodecException if the bytes are no snapshot
     */
    public StateSnapshot decode(byte[] bytes) {
        return (StateSnapshot) codec.decode(bytes).message();
    }

    /**
     * Applies a snapshot.
     *
     * @param snapshot the snapshot
     * @param state the state of this host
     * @param nowMillis the current time
     * @return what changed
     */
    public List<StateChange> apply(StateSnapshot snapshot, PublishedState state, long nowMillis) {
        List<StateChange> changes = new ArrayList<>(state.applyDepartures(snapshot.departed(), nowMillis));
        snapshot.items()
                .map(items -> items.stream().map(StateRelay::decode).toList())
                .ifPresent(items -> changes.addAll(state.applyListing(items, snapshot.position(), nowMillis)));
        snapshot.configuration()
                .map(StateRelay::decode)
                .ifPresent(item -> changes.addAll(state.applyLaterConfiguration(item)));
        return changes;
    }

    private static StoreItem decode(StateSnapshot.Item item) {
        return StoreItem.stored(item.key(), item.revision(), inflate(item.deflated()));
    }

    /**
     * Builds the request for another host's state.
     *
     * @param known what this host knows
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(Known known, long nowMillis) {
        return HttpRequest.get(PATH + known.query())
                .deadlineMillis(nowMillis + TIMEOUT_MILLIS)
                .build();
    }

    private static byte[] deflate(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
            deflater.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("An item could not be compressed.", e);
        }
        return out.toByteArray();
    }

    private static byte[] inflate(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (InflaterOutputStream inflater = new InflaterOutputStream(out)) {
            inflater.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("An item could not be decompressed.", e);
        }
        return out.toByteArray();
    }
}
