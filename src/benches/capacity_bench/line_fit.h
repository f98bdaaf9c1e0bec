/// \file
/// A straight line through measured points, by least squares.
#pragma once

#include <span>

namespace turmerichead::bench {

struct point {
  double Size = 0;
  double Cost = 0;
};

/// Cost = Base + Slope * Size.
struct line_fit {
  double Base = 0;
  double Slope = 0;
  double SlopeError = 0; ///< Standard error of the slope.
  double R2 = 0;         ///< Part of the variation that the line explains.

  double at(double Size) const { return Base + Slope * Size; }
};

/// Needs at least three points of different sizes.
line_fit fitLine(std::span<const point> Points);

} // namespace turmerichead::bench
