package org.guavathread.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.RegionId;

/**
 * The regions of the data centres. It decides which servers and hosts a request with homes may reach. The load that this
 * answers: requests that must stay in their regions while servers elsewhere have more room.
 *
 * <p>If no data centre is known, all are taken to lie in one region. Among known ones, an unknown one lies in no home.
 */
public final class RegionMap {

    /** All data centres lie in one region. */
    public static final RegionMap ONE_REGION = new RegionMap(Map.of());

    private final Map<DataCentreId, RegionId> regions;

    private RegionMap(Map<DataCentreId, RegionId> regions) {
        this.regions = Map.copyOf(regions);
    }

    /**
     * Parses a map.
     *
     * @param text for example {@code "curico=maule,natal-b=nordeste"}; blank if all data centres lie in one region
     * @return the map
     * @throws IllegalArgumentException if an entry is no {@code DATA-CENTRE=REGION}
     */
    public static RegionMap parse(String text) {
        Map<DataCentreId, RegionId> regions = new HashMap<>();
        for (String entry : text.isBlank() ? new String[0] : text.split(",")) {
            String[] names = entry.split("=", -1);
            if (names.length != 2 || names[0].isBlank() || names[1].isBlank()) {
                throw new IllegalArgumentException("\"" + entry + "\" is not DATA-CENTRE=REGION.");
            }
            regions.put(new DataCentreId(names[0].strip()), new RegionId(names[1].strip()));
        }
        return new RegionMap(regions);
    }

    /**
     * Tells whether a request with homes may be sent to a data centre, be it to a server or through a host.
     *
     * @param homes the homes of its route and its workspace
     * @param dataCentre the data centre
     * @return true if the data centre lies in a home, or if no region is ruled out
     */
    public boolean allows(HomeRegions.Allowed homes, DataCentreId dataCentre) {
        return !homes.isRestricted()
                || regions.isEmpty()
                || regionOf(dataCentre).filter(homes::allows).isPresent();
    }

    /**
     * Tells whether callers should be sent to a host: one in their own region, or in a home of all routes that they may use.
     *
     * @param routes the homes of the routes of the callers' virtual host
     * @param callers the region of the callers; empty if it is not known
     * @param dataCentre the data centre of the host
     * @return true if the host may be named
     */
    public boolean mayReceive(Collection<HomeRegions> routes, Optional<RegionId> callers, DataCentreId dataCentre) {
        if (regions.isEmpty() || routes.stream().noneMatch(HomeRegions::isRestricted)) {
            return true;
        }
        Optional<RegionId> region = regionOf(dataCentre);
        return region.isPresent() && (region.equals(callers) || routes.stream().allMatch(r -> r.allows(region.get())));
    }

    private Optional<RegionId> regionOf(DataCentreId dataCentre) {
        return Optional.ofNullable(regions.get(dataCentre));
    }
}
