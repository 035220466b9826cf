#ifndef LABURNUMKEEL_ROUTING_GROUP_VIEW_HOLDER_H_
#define LABURNUMKEEL_ROUTING_GROUP_VIEW_HOLDER_H_

#include <memory>
#include <mutex>
#include <utility>

#include "laburnumkeel/routing/group_view.h"

namespace laburnumkeel::routing {

// Publishes the newest view of a group to several threads. Thread-safe.
class GroupViewHolder {
 public:
  explicit GroupViewHolder(GroupView view)
      : view(std::make_shared<const GroupView>(std::move(view))) {}

  std::shared_ptr<const GroupView> Snapshot() const {
    const std::lock_guard lock(this->mutex);
    return this->view;
  }

  // Replaces the view with `change(view)` and returns the new one. Changes are
  // serialized, so that none is lost.
  template <class Change>
  std::shared_ptr<const GroupView> Update(Change change) {
    const std::lock_guard lock(this->mutex);
    this->view = std::make_shared<const GroupView>(change(*this->view));
    return this->view;
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const GroupView> view;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_GROUP_VIEW_HOLDER_H_
