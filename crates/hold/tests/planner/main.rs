//! The rules of the planner, each tested in the case that needs it.

mod evacuation;
mod fixture;
mod grants;
mod losses;
mod releases;
mod rows;
mod scale;
