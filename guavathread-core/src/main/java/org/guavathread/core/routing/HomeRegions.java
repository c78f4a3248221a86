package org.guavathread.core.routing;

import java.util.HashSet;
import java.util.Set;

import org.guavathread.core.id.RegionId;

/**
 * The regions that requests of a route or a workspace may reach.
 *
 * @param regions the regions; empty if all are allowed
 */
public record HomeRegions(Set<RegionId> regions) {

    /** Allows all regions. */
    public static final HomeRegions ANY = new HomeRegions(Set.of());

    /** Copies the regions. */
    public HomeRegions {
        regions = Set.copyOf(regions);
    }

    /**
     * Tells whether any region is ruled out.
     *
     * @return true if only some regions are allowed
     */
    public boolean isRestricted() {
        return !regions.isEmpty();
    }

    /**
     * Tells whether requests may reach a region.
     *
     * @param region the region
     * @return true if it is a home, or if there are none
     */
    public boolean allows(RegionId region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /**
     * Returns the regions that these homes and others allow.
     *
     * @param other the homes of the workspace, if these are those of the route
     * @return a predicate on regions; if both are restricted, both bind
     */
    public Allowed and(HomeRegions other) {
        return new Allowed(this, other);
    }

    /**
     * Homes of a route and a workspace, which both bind. They may have no region in common.
     *
     * @param ofRoute homes of the route
     * @param ofWorkspace homes of the workspace
     */
    public record Allowed(HomeRegions ofRoute, HomeRegions ofWorkspace) {

        /**
         * Tells whether a request may reach a region.
         *
         * @param region the region
         * @return true if both allow it
         */
        public boolean allows(RegionId region) {
            return ofRoute.allows(region) && ofWorkspace.allows(region);
        }

        /**
         * Tells whether any region is ruled out.
         *
         * @return true if the route or the workspace has homes
         */
        public boolean isRestricted() {
            return ofRoute.isRestricted() || ofWorkspace.isRestricted();
        }
    }

    /**
     * Creates homes from names.
     *
     * @param names names of regions
     * @return the homes
     */
    public static HomeRegions of(String... names) {
        Set<RegionId> regions = new HashSet<>();
        for (String name : names) {
            regions.add(new RegionId(name));
        }
        return new HomeRegions(regions);
    }
}
