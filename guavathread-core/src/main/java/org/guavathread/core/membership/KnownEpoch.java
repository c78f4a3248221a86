package org.guavathread.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * An epoch with its hosts and its witnesses.
 *
 * @param id the epoch
 * @param hosts its active hosts
 * @param witnesses its witnesses, by region
 */
record KnownEpoch(EpochId id, List<Host> hosts, List<RegionWitnesses> witnesses) {

    /** Five witnesses tolerate two failed ones; more witnesses would cost more pings for each host. */
    static final int WITNESSES_PER_REGION = 5;

    KnownEpoch {
        hosts = List.copyOf(hosts);
        witnesses = List.copyOf(witnesses);
    }

    static KnownEpoch of(Sheet sheet, HostEpoch number) {
        Map<RegionId, List<Host>> byRegion = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        for (Host host : sheet.activeHosts()) {
            byRegion.computeIfAbsent(regionOf(sheet, host), r -> new ArrayList<>())
                    .add(host);
        }
        List<RegionWitnesses> witnesses = new ArrayList<>();
        byRegion.forEach((region, hosts) -> witnesses.add(new RegionWitnesses(
                region,
                RendezvousHash.rankSpread("witness", hosts, h -> h.id().value(), Host::dataCentre, WITNESSES_PER_REGION)
                        .stream()
                        .map(Host::id)
                        .toList())));
        return new KnownEpoch(new EpochId(number, membersHash(sheet)), sheet.activeHosts(), witnesses);
    }

    static long membersHash(Sheet sheet) {
        HashStream64 stream = Hashing.komihash5_0().hashStream();
        sheet.activeHosts().stream()
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .forEach(host -> stream.putString(host.id().value())
                        .putString(host.dataCentre().value())
                        .putString(regionOf(sheet, host).value()));
        return stream.getAsLong();
    }

    private static RegionId regionOf(Sheet sheet, Host host) {
        return sheet.regionOf(host.dataCentre())
                .orElseThrow(() -> new IllegalArgumentException("Host " + host.id() + " is in data centre "
                        + host.dataCentre() + ", which sheet " + sheet.version()
                        + " does not list; pass only sheets that SheetReader accepted."));
    }

    KnownEpoch renumbered(HostEpoch number) {
        return new KnownEpoch(new EpochId(number, id.membersHash()), hosts, witnesses);
    }

    EpochMembers members() {
        return new EpochMembers(id.number(), hosts);
    }

    Optional<RegionWitnesses> witnessesIn(RegionId region) {
        return witnesses.stream().filter(w -> w.region().equals(region)).findFirst();
    }

    Set<HostId> allWitnesses() {
        Set<HostId> all = new TreeSet<>();
        witnesses.forEach(w -> all.addAll(w.hosts()));
        return all;
    }
}
