package org.guavathread.core.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.DataCentreId;

/**
 * The data centres that the operator has evacuated: nothing new is sent to their backend servers. The load that this
 * answers: all servers of a data centre leave at once, at the peak of a burst, and come back at once later.
 *
 * <p>A source that comes back from an older copy may have lost an evacuation. The operator writes it again, so until then
 * it stays in force, but no longer than {@link #HELD_MILLIS}.
 */
public final class EvacuatedDataCentres {

    /** Time for which an evacuation holds that the source has lost; the operator writes it again within seconds. */
    public static final long HELD_MILLIS = 10_000;

    private static final long NO_END = Long.MAX_VALUE;

    private final Map<DataCentreId, Entry> entries = new HashMap<>();

    /**
     * An evacuation in force.
     *
     * @param dataCentre the data centre
     * @param sinceMillis when this host learned of it
     * @param revision the source's revision that put it in force
     */
    public record Evacuation(DataCentreId dataCentre, long sinceMillis, long revision) {}

    private record Entry(Evacuation evacuation, long endsAtMillis) {}

    /**
     * Puts an evacuation in force.
     *
     * @param dataCentre the data centre
     * @param revision the source's revision
     * @param nowMillis the current time
     * @return true if it was not in force before
     */
    public boolean begin(DataCentreId dataCentre, long revision, long nowMillis) {
        Entry previous = entries.get(dataCentre);
        long sinceMillis = previous == null ? nowMillis : previous.evacuation().sinceMillis();
        entries.put(dataCentre, new Entry(new Evacuation(dataCentre, sinceMillis, revision), NO_END));
        return previous == null;
    }

    /**
     * Ends an evacuation that the operator has taken back.
     *
     * @param dataCentre the data centre
     * @return true if it was in force
     */
    public boolean end(DataCentreId dataCentre) {
        return entries.remove(dataCentre) != null;
    }

    /**
     * Records that the source came back from an older copy that does not contain an evacuation.
     *
     * @param dataCentre the data centre
     * @param nowMillis the current time
     */
    public void lost(DataCentreId dataCentre, long nowMillis) {
        entries.computeIfPresent(dataCentre, (key, entry) -> new Entry(entry.evacuation(), nowMillis + HELD_MILLIS));
    }

    /**
     * Ends evacuations that the source has lost and that the operator has not written again.
     *
     * @param nowMillis the current time
     * @return what has ended
     */
    public List<Evacuation> expire(long nowMillis) {
        List<Evacuation> ended = entries.values().stream()
                .filter(e -> nowMillis >= e.endsAtMillis())
                .map(Entry::evacuation)
                .toList();
        ended.forEach(e -> entries.remove(e.dataCentre()));
        return ended;
    }

    /**
     * Tells whether a data centre is evacuated.
     *
     * @param dataCentre the data centre
     * @return true if nothing new may be sent to its backend servers
     */
    public boolean contains(DataCentreId dataCentre) {
        return entries.containsKey(dataCentre);
    }

    /**
     * Returns the evacuations in force.
     *
     * @return one for each evacuated data centre
     */
    public List<Evacuation> inForce() {
        return entries.values().stream().map(Entry::evacuation).toList();
    }
}
