//! Steps of a data centre's controller: drains, stops, moves, returns.
