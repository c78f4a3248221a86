package org.guavathread.gateway.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterOutputStream;

import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.publish.StateSnapshot;
import org.guavathread.core.publish.StoreItem;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/** Transfers the published state to hosts that cannot reach the store. */
public final class StateRelay {

    /** Path under which a host serves its state to other hosts. */
    public static final String PATH = "/state";

    private static final int SNAPSHOT_MESSAGE = 1;

    /** Request timeout; after it, the same or another host is asked later. */
    private static final long TIMEOUT_MILLIS = 800;

    private final FrameCodec codec =
            new FrameCodec(new MessageRegistry().register(SNAPSHOT_MESSAGE, StateSnapshot.class));

    /**
     * Encodes the state.
     *
     * @param state the state
     * @param nowMillis the current time
     * @return its bytes
     */
    public byte[] encode(PublishedState state, long nowMillis) {
        List<StateSnapshot.Item> items = state.items().stream()
                .map(i -> new StateSnapshot.Item(i.key(), i.revision(), deflate(i.value())))
                .toList();
        return codec.encode(
                new Frame(0, false, new StateSnapshot(state.position(), items, state.departures(nowMillis))));
    }

    /**
     * Decodes a snapshot of the state.
     *
     * @param bytes the encoded snapshot
     * @return the state
     */
    public StateSnapshot decode(byte[] bytes) {
        return (StateSnapshot) codec.decode(bytes).message();
    }

    /**
     * Returns the items of a snapshot.
     *
     * @param snapshot the snapshot
     * @return the items with their values decompressed
     */
    public List<StoreItem> itemsOf(StateSnapshot snapshot) {
        return snapshot.items().stream()
                .map(i -> StoreItem.stored(i.key(), i.revision(), inflate(i.deflated())))
                .toList();
    }

    /**
     * Builds the request for another host's state.
     *
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(long nowMillis) {
        return HttpRequest.get(PATH).deadlineMillis(nowMillis + TIMEOUT_MILLIS).build();
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
