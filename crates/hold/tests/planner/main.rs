//! The rules of the planner, each tested in the case that needs it.

mod evacuation;
mod fixture;
mod grants;
mod losses;
mod pacing;
mod releases;
mod rows;
mod scale;
